package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// versionEvents is the number of events of a complete stream in these tests; heldAfter is the
// number after which a stream waits for its caller to leave, and brokenAfter that after
// which a server breaks off every third stream that it begins.
const (
	versionEvents = 6
	heldAfter     = 2
	brokenAfter   = 3
)

// versionEvent returns an event as servers of a version write it.
func versionEvent(version string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, version)
}

// versioned returns the script of a server of a version. It completes streams that it resumes.
func versioned(version string) origin.Script {
	var begun atomic.Int64
	return func(x *origin.Exchange) bool {
		first := 1
		if last, err := strconv.Atoi(x.Header.Get(platform.HeaderLastEventID)); err == nil {
			first = last + 1
		}
		broken := first == 1 && !isWarmUp(x) && begun.Add(1)%3 == 0
		time.Sleep(10 * time.Millisecond)
		x.StartStream()
		for id := first; id <= versionEvents; id++ {
			if broken && id > brokenAfter {
				time.Sleep(10 * time.Millisecond)
				return false
			}
			x.Chunk(versionEvent(version, id))
			if first == 1 && id == heldAfter && !strings.HasPrefix(x.RequestURI, "/ask/") {
				<-x.Closed
				return false
			}
		}
		return x.EndStream()
	}
}

// addVersion starts servers of a version, two in each region.
func (cl *cluster) addVersion(version string) []string {
	cl.t.Helper()
	var ids []string
	for _, site := range []string{"a1", "a1", "b1", "b1"} {
		id := fmt.Sprintf("%s-%s-%d", version, site, len(ids))
		s := origin.New(cl.t, versioned(version))
		cl.store.PutEntry(plattest.Server{ID: id, Service: "desk", Site: site, Addr: s.Addr(), State: "ready", Version: version, Born: 1, Seq: 1})
		ids = append(ids, id)
	}
	cl.waitServers(ids, true)
	return ids
}

// removeServers removes the entries of servers that have left.
func (cl *cluster) removeServers(ids []string) {
	cl.t.Helper()
	for _, id := range ids {
		cl.store.RemoveServer(id)
	}
	cl.waitServers(ids, false)
}

// waitServers waits until all hosts list servers, each those of its region, or no longer do.
func (cl *cluster) waitServers(ids []string, listed bool) {
	cl.t.Helper()
	for _, e := range cl.hosts {
		for _, id := range ids {
			if !strings.Contains(id, e.settings.Site) {
				continue
			}
			cl.eventually("list of servers", func() bool {
				svc := e.fleet.Service("desk")
				if svc == nil {
					return false
				}
				_, ok := svc.Table.Server(id)
				return ok == listed
			})
		}
	}
}

// restart ends all hosts at once, without a drain, and starts as many new ones.
func (cl *cluster) restart() {
	cl.t.Helper()
	old := cl.hosts
	cl.hosts = nil
	for _, e := range old {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // nothing may complete
		_ = e.Close(ctx)
	}
	for _, e := range old {
		s := e.settings
		s.First = false
		cl.start(s)
	}
	for _, e := range cl.hosts {
		cl.waitReady(e)
	}
}

// attempt is one of a caller's tries that brought the first events of a stream.
type attempt struct {
	id, version string
	last        int
}

// parseEvents returns the versions that wrote the events of a response, and the last event.
func parseEvents(body string) (versions map[string]bool, last int) {
	versions = make(map[string]bool)
	for _, text := range strings.Split(body, "\n\n") {
		id, version, ok := strings.Cut(strings.TrimPrefix(text, "id: "), "\ndata: ")
		if n, err := strconv.Atoi(id); ok && err == nil {
			versions[version] = true
			last = n
		}
	}
	return versions, last
}

// begin begins n streams, at all hosts in turn. Their callers lose the connection after
// heldAfter events.
func (cl *cluster) begin(n int) []attempt {
	cl.t.Helper()
	return cl.beginAt("/resume/x", n)
}

// beginAt is begin on a path.
func (cl *cluster) beginAt(path string, n int) []attempt {
	cl.t.Helper()
	var list []attempt
	for i := range n {
		id := nextID()
		conn := cl.dial(cl.hosts[i%len(cl.hosts)])
		if _, err := conn.Write([]byte(post(path, id).Bytes(id))); err != nil {
			cl.t.Fatal(err)
		}
		list = append(list, attempt{id, cl.readVersion(conn), heldAfter})
		_ = conn.Close() // nothing is left to send
	}
	return list
}

// readVersion reads a response up to the event heldAfter and returns the version that wrote it.
func (cl *cluster) readVersion(conn *line.Conn) string {
	cl.t.Helper()
	version, ok := readVersion(conn)
	if !ok {
		cl.t.Fatalf("no event %d", heldAfter)
	}
	return version
}

// readVersion is the method of this name. It returns false if the response ends before.
func readVersion(conn *line.Conn) (string, bool) {
	if err := conn.SetReadDeadline(time.Now().Add(readyWait)); err != nil {
		return "", false
	}
	var text string
	buf := make([]byte, 1024)
	for {
		_, rest, ok := strings.Cut(text, fmt.Sprintf("id: %d\ndata: ", heldAfter))
		if version, _, whole := strings.Cut(rest, "\n\n"); ok && whole {
			return version, true
		}
		n, err := conn.Read(buf)
		text += string(buf[:n])
		if err != nil || strings.HasPrefix(text, "HTTP/1.1 5") {
			return "", false
		}
	}
}

// resume returns the call with which a caller takes a stream up again.
func (a attempt) resume() line.Call {
	return post("/resume/x", a.id).With(platform.HeaderLastEventID, strconv.Itoa(a.last)).With(platform.HeaderResumes, a.id)
}

// resumed counts what became of streams that callers took up again.
type resumed struct{ joined, complete, refused int }

// resumeAll takes streams up, each at another host than it began at.
func (cl *cluster) resumeAll(list []attempt) resumed {
	cl.t.Helper()
	var r resumed
	for i, a := range list {
		began := time.Now()
		resp := cl.do(cl.hosts[(i+1)%len(cl.hosts)], a.resume())
		versions, last := parseEvents(resp.Body)
		switch {
		case len(versions) > 0 && !versions[a.version], len(versions) > 1:
			r.joined++
		case resp.Status == http.StatusOK && resp.Err == nil && last == versionEvents:
			r.complete++
		case resp.Status == http.StatusServiceUnavailable && time.Since(began) < time.Second:
			r.refused++
		default:
			cl.t.Errorf("stream %+v: status %d, error %v, body %q", a, resp.Status, resp.Err, resp.Body)
		}
	}
	return r
}

// ofVersion returns the streams that began at a version.
func ofVersion(list []attempt, version string) []attempt {
	var out []attempt
	for _, a := range list {
		if a.version == version {
			out = append(out, a)
		}
	}
	return out
}

// twoVersions starts hosts in two regions with servers of v1, and later servers of v2 as well. It
// returns streams that began before and after that, and the identifiers of the servers of
// each version.
func twoVersions(t *testing.T) (cl *cluster, all []attempt, first, second []string) {
	cl = newCluster(t)
	for _, site := range []string{"a1", "a1", "b1"} {
		cl.host(site)
	}
	first = cl.addVersion("v1")
	old := cl.begin(12)
	second = cl.addVersion("v2")
	mixed := cl.begin(40)
	if len(ofVersion(mixed, "v1")) < 5 || len(ofVersion(mixed, "v2")) < 5 {
		t.Fatalf("streams began at %v", mixed)
	}
	return cl, append(old, mixed...), first, second
}

// checkResumed takes streams up and checks that nine of ten go on, all at their version.
func (cl *cluster) checkResumed(list []attempt) {
	cl.t.Helper()
	if r := cl.resumeAll(list); r.joined > 0 || r.complete < len(list)*9/10 {
		cl.t.Errorf("of %d streams: %+v", len(list), r)
	}
}

// checkLeft takes up streams of a version that has left, which must be refused, and those of the
// version that is kept.
func (cl *cluster) checkLeft(list []attempt, left, kept string) {
	cl.t.Helper()
	if r := cl.resumeAll(ofVersion(list, left)); r.joined > 0 || r.complete > 0 {
		cl.t.Errorf("streams of the version that left: %+v", r)
	}
	cl.checkResumed(ofVersion(list, kept))
}

// TestStreamResumedAtVersion guards against streams that a host resumes, within one response,
// at a server of another version than the one that began them.
func TestStreamResumedAtVersion(t *testing.T) {
	cl := newCluster(t)
	for _, site := range []string{"a1", "a1", "b1"} {
		cl.host(site)
	}
	cl.addVersion("v1")
	cl.addVersion("v2")
	joined, complete := 0, 0
	for _, e := range cl.hosts {
		cl.warmUp(e)
	}
	for i := range 40 {
		resp := cl.do(cl.hosts[i%3], post("/ask/x", strconv.Itoa(i)))
		versions, last := parseEvents(resp.Body)
		if len(versions) > 1 {
			joined++
		}
		if last == versionEvents && resp.Err == nil {
			complete++
		}
	}
	if joined > 0 || complete < 32 {
		t.Errorf("of 40 streams %d hold events of two versions, %d are complete", joined, complete)
	}
}

// TestStreamNotResumedAtOtherVersion guards against a stream that goes on at another version
// because the last server of its own has ended.
func TestStreamNotResumedAtOtherVersion(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	var ended atomic.Bool
	var first *origin.Server
	first = cl.server("s1", "a1", func(x *origin.Exchange) bool {
		x.StartStream()
		if !isWarmUp(x) {
			x.Chunk(versionEvent("v1", 1))
			time.Sleep(10 * time.Millisecond)
			ended.Store(true)
			first.Crash()
			return false
		}
		x.Chunk(versionEvent("v1", 1))
		return x.EndStream()
	})
	cl.warmUp(e)
	second := origin.New(t, func(x *origin.Exchange) bool {
		if !ended.Load() {
			return x.Refuse()
		}
		x.StartStream()
		x.Chunk(versionEvent("v2", 2))
		return x.EndStream()
	})
	cl.store.PutEntry(plattest.Server{ID: "s2-a1", Service: "desk", Site: "a1", Addr: second.Addr(), State: "ready", Version: "v2", Born: 1, Seq: 1})
	cl.waitServers([]string{"s2-a1"}, true)
	resp := cl.do(e, post("/ask/x", "1"))
	if resp.Body != versionEvent("v1", 1) || resp.Err == nil {
		t.Errorf("status %d, error %v, body %q", resp.Status, resp.Err, resp.Body)
	}
}

// warmUp sends requests that are answered, so that the retry budget allows retries.
func (cl *cluster) warmUp(e *Entry) {
	cl.t.Helper()
	for range 30 {
		wantStatus(cl.t, cl.do(e, post("/ask/warm", "1")), http.StatusOK)
	}
}

// isWarmUp reports whether a request is one of warmUp.
func isWarmUp(x *origin.Exchange) bool { return strings.HasSuffix(x.RequestURI, "/warm") }

// TestTakeUp guards against streams that callers take up again, at another host or in another
// region, and that go on at another version than the one that began them, or not at all
// although servers of their version serve.
func TestTakeUp(t *testing.T) {
	cl, all, _, _ := twoVersions(t)
	cl.checkResumed(all)
}

// TestTakeUpAfterRestart guards against the same after all hosts were killed.
func TestTakeUpAfterRestart(t *testing.T) {
	cl, all, _, _ := twoVersions(t)
	cl.restart()
	cl.checkResumed(all)
}

// TestTakeUpAfterOldLeft guards against streams that go on at the only version left, at which
// they did not begin: they must be refused at once.
func TestTakeUpAfterOldLeft(t *testing.T) {
	for name, restart := range map[string]bool{"hosts run": false, "all hosts restart": true} {
		t.Run(name, func(t *testing.T) {
			cl, all, first, _ := twoVersions(t)
			cl.removeServers(first)
			if restart {
				cl.restart()
			}
			cl.checkLeft(all, "v1", "v2")
		})
	}
}

// TestTakeUpAfterNewLeft guards against the same after the newer version was withdrawn.
func TestTakeUpAfterNewLeft(t *testing.T) {
	cl, all, _, second := twoVersions(t)
	cl.removeServers(second)
	cl.restart()
	cl.checkLeft(all, "v2", "v1")
}

// TestTakeUpStoreAway guards against streams that go on at another version, or whose callers
// wait, because the store that holds the records is away; and against streams that begin at a
// version that can't be recorded while the base version serves.
func TestTakeUpStoreAway(t *testing.T) {
	cl, all, _, _ := twoVersions(t)
	cl.restart() // so that hosts remember nothing
	away := func(r *http.Request) int {
		if strings.Contains(r.URL.String(), "attempts") || r.URL.Path == "/-/kv-txn" || r.URL.Path == "/-/kv-lease" {
			return http.StatusServiceUnavailable
		}
		return 0
	}
	cl.store.SetFault(away)
	if r := cl.resumeAll(all); r.refused != len(all) {
		t.Errorf("of %d streams: %+v, want all refused", len(all), r)
	}
	resp := cl.do(cl.hosts[0], all[0].resume())
	if resp.Status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", resp.Status, resp.Header)
	}
	cl.begin(12) // hosts find that they can't write
	if during := cl.begin(12); len(ofVersion(during, "v1")) < len(during) {
		t.Errorf("streams began at %v", during)
	}
	cl.store.SetFault(nil)
	cl.checkResumed(all)
}

// TestTakeUpWithoutName guards against a caller that does not name the attempt that it resumes
// and gets events of another version; with one version in service it must be served.
func TestTakeUpWithoutName(t *testing.T) {
	cl := newCluster(t)
	cl.host("a1")
	cl.addVersion("v1")
	cl.eventually("base version", func() bool { _, known := cl.hosts[0].fleet.Bases().Base("desk", 0); return known })
	a := cl.begin(1)[0]
	call := a.resume().With(platform.HeaderResumes, "")
	wantStatus(t, cl.do(cl.hosts[0], call), http.StatusOK)
	cl.addVersion("v2")
	resp := cl.do(cl.hosts[0], call)
	if resp.Status != http.StatusServiceUnavailable || resp.Body != "" {
		t.Errorf("status %d, body %q", resp.Status, resp.Body)
	}
}

// TestTakeUpOfUnknownStream guards against a caller that names an attempt of which no host
// knows, and that is then never answered; it began, if at all, at the base version.
func TestTakeUpOfUnknownStream(t *testing.T) {
	cl, _, _, _ := twoVersions(t)
	for range 8 {
		resp := cl.do(cl.hosts[0], attempt{id: nextID(), last: heldAfter}.resume())
		wantStatus(t, resp, http.StatusOK)
		if versions, _ := parseEvents(resp.Body); !versions["v1"] || len(versions) != 1 {
			t.Errorf("body %q", resp.Body)
		}
	}
}

// TestStoreAwayAtBegin guards against streams that begin at a version which can't be recorded
// because the store has just gone away, while the base version serves, be it in another region:
// after all hosts were killed, they would be taken for streams of the base.
func TestStoreAwayAtBegin(t *testing.T) {
	cl := newCluster(t)
	for _, site := range []string{"a1", "a1", "b1"} {
		cl.host(site)
	}
	first := cl.addVersion("v1")
	for _, e := range cl.hosts {
		cl.warmUp(e)
	}
	cl.addVersion("v2")
	cl.removeServers(first[:2]) // v1 serves in region b only
	cl.begin(12)
	cl.store.SetFault(func(r *http.Request) int {
		if r.URL.Path == "/-/kv-txn" || r.URL.Path == "/-/kv-lease" {
			return http.StatusServiceUnavailable
		}
		return 0
	})
	var list []attempt
	for range 8 {
		list = append(list, cl.begin(3)...)
		time.Sleep(100 * time.Millisecond)
	}
	if n := len(ofVersion(list, "v2")); n > 2 {
		t.Errorf("%d of %d streams began at a version that is not recorded", n, len(list))
	}
	cl.store.SetFault(nil)
	cl.restart()
	if r := cl.resumeAll(list); r.joined > 2 {
		t.Errorf("of %d streams: %+v", len(list), r)
	}
}

// TestTakeUpOnSplitRoute guards against streams that go on at another service because their route
// divides requests among services by the identifier of the attempt.
func TestTakeUpOnSplitRoute(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	for _, service := range []string{"desk", "shop"} {
		s := origin.New(t, versioned(service))
		cl.store.PutEntry(plattest.Server{ID: service + "-a1", Service: service, Site: "a1", Addr: s.Addr(), State: "ready", Version: "v1", Born: 1, Seq: 1})
		cl.eventually("list of servers", func() bool {
			return e.fleet.ServesVersion(service, "v1", func(region string) bool { return region == "a" })
		})
	}
	for _, a := range cl.beginAt("/split/x", 12) {
		call := a.resume()
		call.Path = "/split/x"
		resp := cl.do(e, call)
		wantStatus(t, resp, http.StatusOK)
		if services, _ := parseEvents(resp.Body); !services[a.version] || len(services) != 1 {
			t.Errorf("the stream began at %s and went on at %v", a.version, services)
		}
	}
}

package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/setup"
	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/caller"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/fake/links"
	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/internal/fake/server"
	"github.com/yuccalb/yuccalb/internal/fake/shop"
)

// waitTimeout bounds each wait for a condition. Only a test that hangs reaches it.
const waitTimeout = 60 * time.Second

// platformGroup is the link group of the platform. Every other group is a data centre;
// the region of "east-a" is "east".
const platformGroup = "platform"

// testKey is the key of the fleet's first organisation, whose rate limit is too high for
// tests to reach.
const testKey = "yk_partition"

// fleet is a set of nodes in the test process, with a fake platform and fake backend
// servers.
type fleet struct {
	t            *testing.T
	links        *links.Links
	platform     *infra.Platform
	url          string
	cfg          *model.Config
	engines      map[string]*server.Engine // by data centre
	plainServers map[string]*server.Plain
	nodes        []*testNode
}

// testNode is one node with its addresses.
type testNode struct {
	*Node
	site, base string
}

// fleetSpec describes a fleet to start.
type fleetSpec struct {
	hosts   []string // the data centre of each host
	servers []string // data centres with an engine and a plain service
	engine  server.EngineConfig
	orgs    []model.Org
	spans   sdk.SpanProcessor
}

// newFleet starts the nodes of a fleet and waits until they have discovered each other
// and each has served a chat.
func newFleet(t *testing.T, spec fleetSpec) *fleet {
	t.Helper()
	t.Parallel()
	f := &fleet{
		t: t, links: links.New(), platform: infra.New(infra.Options{}),
		engines: make(map[string]*server.Engine), plainServers: make(map[string]*server.Plain),
	}
	f.url = local.Serve(t, f.platform)
	f.links.Add(local.Host(f.url), platformGroup)
	f.cfg = f.config(spec)
	f.publish()
	var seed string
	var hosts []infra.Host
	for _, site := range spec.hosts {
		addr, peer, admin := local.Addr(t), local.Addr(t), local.Addr(t)
		s, err := setup.Parse(fmt.Appendf(nil, "site: %s\nhttp: %s\npeer: %s\nadmin: %s\nplatform: %s\ndrain: 1s\n%s", site, addr, peer, admin, f.url, seed))
		if err != nil {
			t.Fatal(err)
		}
		if seed == "" {
			seed = fmt.Sprintf("peers: [%q]\n", peer)
		}
		f.links.Add(peer, site)
		f.start(site, s, spec.spans)
		hosts = append(hosts, infra.Host{Addr: peer, Site: site, State: "live"})
		f.platform.SetHosts(hosts)
	}
	f.eventually("all hosts have discovered each other and hold slots", f.checkJoined)
	return f
}

// start starts a node, which is closed at the end of the test.
func (f *fleet) start(site string, s *setup.Settings, spans sdk.SpanProcessor) {
	f.t.Helper()
	dial := f.links.Dialer(site)
	n, err := Start(f.t.Context(), Options{
		Settings: s, Log: zap.NewNop(), Grace: time.Millisecond, Processor: spans, Dial: dial,
		Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dial(ctx, netip.MustParseAddrPort(addr))
		}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, &testNode{n, site, "http://" + s.HTTP.String()})
	f.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // cancelled, so that Close does not wait for slot leases
		_ = n.Close(ctx)
	})
}

// config starts the backend servers and returns the configuration.
func (f *fleet) config(spec fleetSpec) *model.Config {
	cfg := &model.Config{
		Services: shop.Services(nil, nil),
		Routes:   shop.Routes(10*time.Second, 30*time.Second),
		Orgs:     append([]model.Org{shop.Org("shop", testKey)}, spec.orgs...),
	}
	for _, site := range slices.Compact(slices.Clone(spec.hosts)) {
		region, _, _ := strings.Cut(site, "-")
		if !slices.Contains(cfg.Regions, model.Region{Name: region}) {
			cfg.Regions = append(cfg.Regions, model.Region{Name: region})
		}
		cfg.Sites = append(cfg.Sites, model.Site{Name: site, Region: region, Slots: 2})
	}
	at := func(site string, h http.Handler) model.Server {
		return model.Server{Addr: local.Host(local.Serve(f.t, h)), Site: site}
	}
	for _, site := range spec.servers {
		f.engines[site], f.plainServers[site] = server.NewEngine(spec.engine), server.NewPlain(server.PlainConfig{})
		cfg.Services[0].Servers = append(cfg.Services[0].Servers, at(site, f.plainServers[site]))
		cfg.Services[1].Servers = append(cfg.Services[1].Servers, at(site, f.engines[site]))
	}
	return cfg
}

// publish writes the fleet's configuration to the store. The write does not use the
// fleet's links, so partitions do not affect it.
func (f *fleet) publish() uint64 {
	f.t.Helper()
	return shop.Publish(f.t, f.url, f.cfg)
}

// checkJoined returns an error unless every node is ready, sees all other data centres,
// holds a slot and serves a chat.
func (f *fleet) checkJoined() error {
	for _, n := range f.nodes {
		s := n.Status()
		if !n.Ready() || s.Slot < 0 || len(s.Sites) != len(f.cfg.Sites)-1 {
			return fmt.Errorf("host of %s: version %d, slot %d, %d other data centres", n.site, s.Version, s.Slot, len(s.Sites))
		}
		if err := n.chat("join", 1).Failure(); err != nil {
			return fmt.Errorf("host of %s: %w", n.site, err)
		}
	}
	return nil
}

// at returns the nodes of a data centre.
func (f *fleet) at(site string) []*testNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *testNode) bool { return n.site != site })
}

// eventually waits until check returns nil.
func (f *fleet) eventually(what string, check func() error) {
	f.t.Helper()
	await.For(f.t, waitTimeout, what, check)
}

// checkVersion returns an error unless all given nodes have version want.
func checkVersion(nodes []*testNode, want uint64) error {
	for _, n := range nodes {
		if v := n.config.Current().Version; v != want {
			return fmt.Errorf("host of %s has version %d, want %d", n.site, v, want)
		}
	}
	return nil
}

// result is the response to a request, or the error.
type result = caller.Result

// request is a request of a caller. id becomes part of the request ID that backend
// servers receive.
type request struct {
	key, id, method, path, body, idem string
}

// send sends a request to the node and reads the whole response.
func (n *testNode) send(q request) result {
	if q.key == "" {
		q.key = testKey
	}
	return caller.Send(caller.Request{Base: n.base, Key: q.key, ID: q.id, Method: q.method, Path: q.path, Body: q.body, Idem: q.idem})
}

// prompt is the prompt of all chats. It has 6 tokens.
const prompt = "film and adhesive"

// chatBody returns a chat request for n tokens.
func chatBody(n int, stream bool) string { return caller.ChatBody("drafter", prompt, n, stream) }

// chat sends a streamed chat request for the given number of tokens.
func (n *testNode) chat(id string, tokens int) result {
	return caller.Chat(caller.Request{Base: n.base, Key: testKey, ID: id}, "drafter", prompt, tokens)
}

// lookup sends a look-up request to the plain service.
func (n *testNode) lookup(id string) result {
	return n.send(request{id: id, method: http.MethodGet, path: "/v1/call/stock"})
}

// book sends a booking, whose reference is also the idempotency key.
func (n *testNode) book(id, ref string) result {
	return n.send(request{id: id, method: http.MethodPost, path: "/v1/call/booking", body: fmt.Sprintf(`{"booking":%q}`, ref), idem: ref})
}

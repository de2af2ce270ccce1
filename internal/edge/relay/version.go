package relay

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/resume"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/edge/ledger"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

// maxRecordWait bounds the wait of a stream's first event for the record of its version. It
// covers a call to a store in another region.
const maxRecordWait = 400 * time.Millisecond

// maxLastWait is how much longer the event waits if no other attempt can follow. Callers give a
// stream up after 2 s without an event.
const maxLastWait = time.Second

// maxOldListWait bounds the read of a record by a host whose list of servers is outdated: most
// likely it can't reach the store.
const maxOldListWait = 300 * time.Millisecond

// recordMovedTime is how long streams are recorded that begin at another service than before: other
// hosts may not know yet that their route has moved.
const recordMovedTime = time.Minute

// moveMargin is how long after a stream's time it may still be taken up after its route was moved:
// hosts learn of the move one after the other, and callers return a little later.
const moveMargin = 5 * time.Second

// Records reads and writes at which software version streams began.
type Records interface {
	Add(stream platform.Stream) *ledger.Record
	Drop(r *ledger.Record) bool
	Pass(r *ledger.Record)
	Version(ctx context.Context, attempt platform.Attempt, service string) (string, ledger.Source, error)
	Versions(ctx context.Context, service string) ([]string, error)
	Healthy(now time.Time) bool
}

// resumable reports whether the response is a stream that may go on at another server.
func (q *request) resumable() bool { return q.route.Stream && q.route.Resumable }

// takeUp reports whether the caller takes a stream up again.
func (q *request) takeUp() bool { return !q.forwarded && q.resumable() && q.lastEvent != "" }

// pin allows only servers of a software version from now on.
func (q *request) pin(version string) {
	q.pick.Pinned = true
	q.pick.Version = version
}

// pinTakeUp allows only servers of the version at which the stream began that the caller takes
// up. It returns a refusal if this version is unknown or no longer serves: nothing can go
// on then.
func (q *request) pinTakeUp() *refusal {
	if !q.takeUp() {
		return nil
	}
	version, source, ref := q.beganAt()
	if ref == nil && q.moved() {
		source, ref = "unknown", &refusal{http.StatusServiceUnavailable, reasonServiceUnknown, 0}
	}
	q.s.stats.TakeUp(q.service, source)
	q.refusalInputs = append(q.refusalInputs, zap.String("began_at", version), zap.String("known_from", source))
	if ref != nil {
		return ref
	}
	if !q.serves(version) {
		if age := q.s.fleet.ListAge(); resume.Outdated(age) {
			q.refusalInputs = append(q.refusalInputs, zap.Duration("list_age", age))
			return &refusal{http.StatusServiceUnavailable, reasonListOld, retryAfterBusy}
		}
		return &refusal{http.StatusServiceUnavailable, reasonVersionGone, 0} // there is no time to come back
	}
	q.pin(version)
	return nil
}

// recordMoved makes the attempts record a stream that begins where its route has led to another service a
// short time before: a host at which it is taken up may not know of the move.
func (q *request) recordMoved() {
	if q.forwarded || !q.resumable() || q.lastEvent != "" {
		return
	}
	if q.movedWithin(recordMovedTime) {
		q.records = max(q.records, 1)
	}
}

// moved reports whether the stream that the caller takes up may have begun at another service: a
// version has moved its route since, or added or removed one with a longer prefix.
func (q *request) moved() bool {
	timeout := q.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return q.movedWithin(timeout + moveMargin)
}

// movedWithin reports whether the route of the stream may have led to another service within a time before now.
func (q *request) movedWithin(d time.Duration) bool {
	path, _ := q.path()
	return q.s.fleet.Moved(q.service, q.r.Host, path, q.hash(), d)
}

// beganAt returns the version at which the stream began that the caller takes up, and where it
// is known from.
func (q *request) beganAt() (version, source string, ref *refusal) {
	attempt := q.r.Header.Get(platform.HeaderResumes)
	if attempt == "" {
		return q.beganUnnamed()
	}
	ctx, cancel := q.readContext()
	defer cancel()
	version, from, err := q.s.records.Version(ctx, platform.NewAttempt(attempt), q.service)
	if errors.Is(err, ledger.ErrOtherService) {
		return "", "unknown", &refusal{http.StatusServiceUnavailable, reasonServiceUnknown, 0}
	}
	if err != nil {
		return q.beganUnknown(err)
	}
	if from != ledger.SourceNone {
		return version, string(from), nil
	}
	return q.beganAtBase()
}

// beganUnnamed is beganAt for a caller that does not name the attempt.
func (q *request) beganUnnamed() (version, source string, ref *refusal) {
	if len(q.route.Targets) > 1 && q.pick.Prefix() == 0 {
		// The service is not known either.
		return "", "unknown", &refusal{http.StatusServiceUnavailable, reasonVersionUnknown, 0}
	}
	ctx, cancel := q.readContext()
	defer cancel()
	recorded, err := q.s.records.Versions(ctx, q.service)
	if err != nil {
		return q.beganUnknown(err)
	}
	if _, source, ref = q.beganAtBase(); ref != nil {
		return "", source, ref
	}
	version, only := q.s.fleet.Bases().Only(q.service, recorded, q.s.fleet.ListAge())
	if !only {
		return "", "unknown", &refusal{http.StatusServiceUnavailable, reasonVersionUnknown, 0}
	}
	return version, "only", nil
}

// readContext returns the context of a read from the store.
func (q *request) readContext() (context.Context, context.CancelFunc) {
	if resume.Outdated(q.s.fleet.ListAge()) {
		return context.WithTimeout(q.ctx, maxOldListWait)
	}
	return context.WithCancel(q.ctx)
}

// beganUnknown is the result of beganAt if the store can't be read.
func (q *request) beganUnknown(err error) (version, source string, ref *refusal) {
	q.s.log.Requests.Warn("record of stream not read", zap.String("id", q.id), zap.String("resumes", q.r.Header.Get(platform.HeaderResumes)), zap.Error(err))
	return "", "unknown", &refusal{http.StatusServiceUnavailable, reasonVersionUnknown, retryAfterHostState}
}

// beganAtBase is the result of beganAt if the store holds no record. It has lost records if it
// was restored from a copy, until hosts have written them again.
func (q *request) beganAtBase() (version, source string, ref *refusal) {
	base, known := q.s.fleet.Bases().Began(q.service, q.s.fleet.ListAge())
	if !known || !q.s.fleet.StoreSettled() {
		return "", "unknown", &refusal{http.StatusServiceUnavailable, reasonVersionUnknown, retryAfterHostState}
	}
	return base, "base", nil
}

// serves reports whether servers of a version serve in a region that the request may be served
// in.
func (q *request) serves(version string) bool {
	return q.s.fleet.ServesVersion(q.service, version, q.allows)
}

// versionIn reports whether a region serves the version to which the attempt is pinned, if any.
func (q *request) versionIn(region string) bool {
	return !q.target.Pinned || q.s.fleet.ServesVersion(q.service, q.target.Version, func(r string) bool { return r == region })
}

// avoidRecords returns the request for the choice of a server, which allows only servers at which
// the stream may begin without a record while this host can't write records. It returns
// false if there are none.
func (q *request) avoidRecords(now time.Time) (*pick.Request, bool) {
	if q.pick.Pinned || !q.resumable() || q.lastEvent != "" || q.s.records.Healthy(now) {
		return &q.pick, true
	}
	version, unrecorded := q.s.fleet.Bases().Unrecorded(q.service, q.s.fleet.ListAge(), time.Now())
	if unrecorded != resume.OnlyBase {
		return &q.pick, unrecorded == resume.Any
	}
	r := q.pick
	r.Pinned = true
	r.Version = version
	return &r, true
}

// recordVersion begins to record at which version the stream begins, if it may begin with this
// attempt and has to be recorded.
func (q *request) recordVersion(version string) {
	q.dropRecord()
	if !q.resumable() || q.headerWritten || q.lastEvent != "" {
		return
	}
	if q.s.fleet.Bases().MustRecord(q.service, version, q.records > 0, q.s.fleet.ListAge()) {
		q.record = q.s.records.Add(platform.Stream{Attempt: platform.NewAttempt(q.id), Version: version, Number: q.records, Service: q.service})
		q.records++
	}
}

// dropRecord withdraws the record of an attempt that brought no event, if it is not being written
// yet.
func (q *request) dropRecord() {
	if q.record != nil && q.s.records.Drop(q.record) {
		q.records--
	}
	q.record = nil
}

// peerRecords is more than the number of records that another host begins for one request.
const peerRecords = 1000

// recordsOfPeer leaves out the numbers of the records that the other host may have begun in the
// last attempt.
func (q *request) recordsOfPeer() {
	if q.resumable() && q.peerRecorded {
		q.records += peerRecords
	}
}

// setRecorded states in a response to another host whether this one may have recorded the version
// of the stream.
func (q *request) setRecorded(h http.Header) {
	h[headerRecorded] = []string{strconv.Itoa(q.records - q.formerRecords)}
}

// parseRecorded reads from a response of another host whether that has begun records. Hosts of
// earlier versions do not say so.
func (q *request) parseRecorded(resp *send.Response) {
	q.peerRecorded = resp.Header.Get(headerRecorded) != "0"
}

// awaitRecord waits until the version of the stream is recorded, before the first event is passed
// on: from then on the caller may take the stream up. It returns false if the event must not be
// passed on, with what becomes of the attempt: if the record takes too long, another attempt
// follows at the base version, as far as the rules for retries allow it.
func (q *request) awaitRecord() (retry.Result, bool) {
	if q.record == nil {
		return 0, true
	}
	record := q.record
	if record.Wait(q.ctx, maxRecordWait) || cancelled(q.r.Context()) {
		q.passRecord()
		return 0, true
	}
	if q.aborted() {
		return retry.Unknown, false
	}
	base, unrecorded := q.s.fleet.Bases().Unrecorded(q.service, q.s.fleet.ListAge(), time.Now())
	if record.Number == 0 && unrecorded.Allows(record.Version, base) {
		q.s.stats.Unrecorded(q.service)
		q.s.log.Requests.Warn("stream passed on without a record", zap.String("id", q.id), zap.String("version", record.Version), zap.Bool("forwarded", q.forwarded))
		q.passRecord()
		return 0, true
	}
	q.reason = reasonNotRecorded
	if q.retryable() {
		return retry.ServerError, false
	}
	if record.Wait(q.ctx, min(maxLastWait, q.remaining())) {
		q.passRecord()
		return 0, true
	}
	return retry.Unknown, false
}

// passRecord ends the use of the record before the first event is passed on. The host that
// forwarded the request may not pass it on.
func (q *request) passRecord() {
	if !q.forwarded {
		q.s.records.Pass(q.record)
	}
	q.record = nil
}

// pinResponse allows only servers of the version that has sent the first events to go on with
// the stream. If another host does not name it, no server is allowed to.
func (q *request) pinResponse(resp *send.Response) {
	if !q.resumable() || q.pick.Pinned {
		return
	}
	if !q.fromPeerHost() {
		q.pin(q.choice.Version)
		return
	}
	version, ok := parseVersion(resp.Header)
	if !ok {
		q.versionUnknown = true
		return
	}
	q.pin(version)
}

// setVersion names a version in the header of a message to another host.
func setVersion(h http.Header, version string) {
	h[headerVersion] = []string{url.QueryEscape(version)}
}

// parseVersion returns the version that another host has named, and false if there is none.
func parseVersion(h http.Header) (string, bool) {
	values := h[headerVersion]
	if len(values) != 1 {
		return "", false
	}
	version, err := url.QueryUnescape(values[0])
	return version, err == nil
}

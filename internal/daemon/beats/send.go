package beats

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// maxPerPeer bounds the heartbeats in progress to one address. With two, a heartbeat
// can overtake one that is stalled until its timeout.
const maxPerPeer = 2

// sendHeartbeats sends the heartbeats of a plan. Unless results is nil, it receives the
// result of each heartbeat within the data centre and must have capacity for all of
// them. The result for a peer that is not in StateLive is always nil: such a peer
// need not answer.
func (l *Loop) sendHeartbeats(plan *member.Plan, results chan<- error) {
	if len(plan.Heartbeats)+len(plan.Links) == 0 {
		return
	}
	for _, c := range l.requests(plan) {
		if results == nil && l.inflight[c.to.To] >= maxPerPeer {
			continue
		}
		l.send(c.to.To, c.req, func(reply *peerpb.BeatReply, sent time.Time, err error) {
			if c.link != "" {
				l.post(func(now time.Time) {
					if err != nil || l.receiveReply(c.to, plan.At, sent, c.req, reply, now) != member.FromRemoteSite {
						l.table.LinkFailed(c.link, now)
					}
				})
				return
			}
			if err == nil {
				l.post(func(now time.Time) { l.receiveReply(c.to, plan.At, sent, c.req, reply, now) })
			}
			if results != nil && plan.View.State(c.to.To) == member.StateLive {
				results <- err
			} else if results != nil {
				results <- nil
			}
		})
	}
}

// call is one heartbeat to send. link is the name of the data centre that it is sent
// to, or "" for the local one.
type call struct {
	to   member.Send
	link string
	req  *peerpb.BeatRequest
}

// requests builds the heartbeats of a plan.
func (l *Loop) requests(plan *member.Plan) []call {
	base, digest := l.base()
	full, brief := encodeSummaries(plan.Full), encodeSummaries(plan.Brief)
	calls := l.links(plan, base, digest)
	loads := l.loads(plan)
	for _, b := range plan.Heartbeats {
		req := &peerpb.BeatRequest{
			From: encodeIdent(l.opts.Self, b.Full), State: base.State, Version: base.Version, Confirmed: base.Confirmed,
			Loads: loads[b.Full], Placements: base.Placements, Summaries: brief, Claims: base.Claims,
		}
		if b.Full {
			req.Http, req.Summaries = encodeAddr(l.opts.HTTP), full
		}
		if a := l.acked[b.To]; b.Full || a.sent != base.Version || a.received != base.Version {
			req.Digest = digest
		}
		if l.opts.Lessee != nil {
			req.Returned = l.opts.Lessee.ReturnedLease(b.To)
		}
		calls = append(calls, call{to: b, req: req})
	}
	return calls
}

// base returns the fields that all heartbeats of one tick share, and the digest of
// the configuration.
func (l *Loop) base() (*peerpb.BeatRequest, string) {
	req := &peerpb.BeatRequest{State: encodeState(l.table.Leaving())}
	digest := ""
	if l.opts.Versions != nil {
		v := l.opts.Versions.Version()
		req.Version, req.Confirmed, digest = v.Number, int64(v.Confirmed), v.Digest
	}
	if l.opts.Placements != nil {
		req.Placements = l.opts.Placements.Placements()
	}
	if l.opts.Claims != nil {
		// 0 means that the claims were never read.
		if age := l.opts.Claims.Claims(); age >= 0 {
			req.Claims = max(int64(age), 1)
		}
	}
	return req, digest
}

// loads returns the load reports for the heartbeats of a plan, by whether a
// heartbeat is full.
func (l *Loop) loads(plan *member.Plan) map[bool][]*peerpb.Load {
	loads := make(map[bool][]*peerpb.Load)
	if l.opts.Loads == nil {
		return loads
	}
	for _, b := range plan.Heartbeats {
		if _, ok := loads[b.Full]; !ok {
			loads[b.Full] = l.opts.Loads.Loads(b.Full)
		}
	}
	return loads
}

// links builds the heartbeats that carry the summary of this data centre to other
// data centres.
func (l *Loop) links(plan *member.Plan, base *peerpb.BeatRequest, digest string) []call {
	if len(plan.Links) == 0 {
		return nil
	}
	local := plan.Local
	if l.opts.Versions != nil {
		v := l.opts.Versions.Version()
		local.Version, local.Floor = v.Number, v.Floor
	}
	if l.opts.Capacities != nil {
		local.Capacities = l.opts.Capacities.Capacities()
	}
	summary := encodeSummary(&local)
	var calls []call
	for _, link := range plan.Links {
		req := &peerpb.BeatRequest{
			From: encodeIdent(l.opts.Self, true), State: base.State, Version: base.Version, Digest: digest,
			Confirmed: base.Confirmed, Summaries: []*peerpb.Summary{summary},
		}
		if link.Hint.Members != nil {
			req.Summaries = append(req.Summaries, encodeSummary(&link.Hint))
		}
		calls = append(calls, call{to: member.Send{To: link.To}, link: link.Site, req: req})
	}
	return calls
}

// send sends one heartbeat in a goroutine of its own, so that a slow receiver does
// not delay heartbeats to others. done is called on that goroutine.
func (l *Loop) send(to netip.AddrPort, req *peerpb.BeatRequest, done func(*peerpb.BeatReply, time.Time, error)) {
	l.inflight[to]++
	l.wg.Go(func() {
		reply, sent, err := l.exchangeHeartbeat(to, req)
		done(reply, sent, err)
		l.post(func(time.Time) {
			if l.inflight[to]--; l.inflight[to] == 0 {
				delete(l.inflight, to)
			}
		})
	})
}

// exchangeHeartbeat sends one heartbeat and returns the reply and the time of sending.
func (l *Loop) exchangeHeartbeat(to netip.AddrPort, req *peerpb.BeatRequest) (*peerpb.BeatReply, time.Time, error) {
	ctx, cancel := context.WithTimeout(l.ctx, member.Tick)
	defer cancel()
	select {
	case l.calls <- struct{}{}:
		defer func() { <-l.calls }()
	case <-ctx.Done():
		return nil, time.Time{}, ctx.Err()
	}
	sent := time.Now()
	reply, err := l.opts.Transport.Beat(ctx, to, req)
	return reply, sent, err
}

// receiveReply handles the reply to a heartbeat on the control goroutine.
func (l *Loop) receiveReply(b member.Send, planned, sent time.Time, req *peerpb.BeatRequest, reply *peerpb.BeatReply, now time.Time) member.Verdict {
	from := decodeIdent(reply.GetFrom())
	// Sent is the time of the plan, not that of sending: the heartbeat lists only the
	// hosts that were in the table when the plan was made.
	verdict := l.table.ReceiveReply(b.To, &member.Reply{
		From: from, Leaving: reply.GetState() == peerpb.State_STATE_LEAVING, Sent: planned, Full: b.Full,
	}, now)
	if verdict != member.Accepted && verdict != member.FromRemoteSite {
		return verdict
	}
	if from.Site == "" {
		from.Site = l.opts.Self.Site
	}
	digest := reply.GetDigest()
	if verdict == member.Accepted {
		digest = l.acknowledge(b.To, from, req, reply)
	}
	if l.opts.Versions != nil {
		l.opts.Versions.ObserveReply(from, Version{
			Number: reply.GetVersion(), Digest: digest, Confirmed: time.Duration(reply.GetConfirmed()),
		}, sent)
	}
	if verdict != member.Accepted {
		return verdict
	}
	if l.opts.Lessee != nil && reply.GetLease() != nil {
		l.opts.Lessee.AcceptLease(from, reply.GetLease(), sent)
	}
	return verdict
}

// acknowledge records the digests that a heartbeat and its reply have exchanged. It
// returns the digest of the version in the reply, or "" if it is not known.
func (l *Loop) acknowledge(to netip.AddrPort, from member.Ident, req *peerpb.BeatRequest, reply *peerpb.BeatReply) string {
	a := l.acked[to]
	if a.incarnation != from.Incarnation {
		a = ack{incarnation: from.Incarnation}
	}
	if req.GetDigest() != "" {
		a.sent = req.GetVersion()
	}
	if reply.GetDigest() != "" {
		a.received, a.digest = reply.GetVersion(), reply.GetDigest()
	}
	l.acked[to] = a
	if a.received != reply.GetVersion() {
		return ""
	}
	return a.digest
}

// Leave announces to all peers at once that this host is leaving. It returns when
// each peer has answered or failed to answer, or when ctx has ended. Later heartbeats
// repeat the announcement; the error gives the number of healthy peers that have not yet
// confirmed it.
func (l *Loop) Leave(ctx context.Context) error {
	var results chan error
	err := l.do(ctx, func(now time.Time) {
		plan := l.table.Leave(now)
		l.view.Store(plan.View)
		results = make(chan error, len(plan.Heartbeats))
		l.sendHeartbeats(plan, results)
		l.updateDirectory(plan.View, now)
	})
	if err != nil {
		return fmt.Errorf("announce leaving: %w", err)
	}
	failed := 0
	for range cap(results) {
		select {
		case err := <-results:
			if err != nil {
				failed++
			}
		case <-ctx.Done():
			return fmt.Errorf("announce leaving to %d peers: %w", cap(results), ctx.Err())
		}
	}
	if failed > 0 {
		return fmt.Errorf("announce leaving: %d of %d peers did not answer and are not known to have failed", failed, cap(results))
	}
	return nil
}

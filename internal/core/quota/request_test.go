package quota_test

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// call sends an ask and runs done once, with the grant or after a timeout. The
// tokens of a later grant are returned, but not those of a duplicate, because a
// transport delivers each grant only once.
func (h *host) call(req quota.Request, timeout time.Duration, done func(quota.Grant, bool)) {
	finished, gen, last := false, h.gen, uint64(0)
	h.send(req.Addr, askSize(req.Ask), func(p *host) {
		p.serve(req.Ask, func(answer quota.Grant) {
			p.reply(h, gen, 16, func() {
				repeated := answer.ID == last
				last = answer.ID
				switch {
				case !finished:
					finished = true
					done(answer, true)
				case answer.ID != 0 && !repeated:
					h.post([]quota.OutSettlement{{Addr: req.Addr, Settlement: quota.Settlement{
						ID: answer.ID, Org: req.Ask.Org, Unused: answer.Tokens, Final: true,
					}}})
				}
			})
		})
	})
	h.later(timeout, func() {
		if !finished {
			finished = true
			done(quota.Grant{}, false)
		}
	})
}

// serve serves an ask from another host.
func (h *host) serve(ask quota.Ask, reply func(quota.Grant)) {
	if !ask.AskRemote {
		reply(h.node.Serve(h.clock(), ask))
		return
	}
	acq, answer := h.node.AcquireForAsk(h.clock(), ask)
	if acq == nil {
		reply(answer)
		return
	}
	h.rounds(acq, func(int) {
		answer, outs := h.node.FinishAsGrant(h.clock(), acq)
		h.post(outs)
		reply(answer)
	}, 0)
}

// rounds asks remote data centres until Round returns no more requests.
func (h *host) rounds(acq *quota.Acquisition, done func(trips int), trips int) {
	reqs := h.node.Round(h.clock(), acq)
	if len(reqs) == 0 {
		h.w.st.trips += trips
		done(trips)
		return
	}
	left := len(reqs)
	for _, req := range reqs {
		h.call(req, 400*time.Millisecond, func(answer quota.Grant, ok bool) {
			h.post(h.node.Collect(h.clock(), acq, req, answer, ok))
			if left--; left == 0 {
				h.rounds(acq, done, trips+1)
			}
		})
	}
}

// reserve runs one request and calls done with whether it was admitted.
func (h *host) reserve(name string, tokens, refundable int64, done func(bool)) {
	org := h.node.Shares().Org(name)
	if org == nil || !h.w.ignoreRejections && h.node.Check(h.clock(), org, tokens) != nil {
		done(false)
		return
	}
	h.w.st.reserves++
	acq := h.node.Acquire(h.clock(), org, tokens, refundable, nil)
	finish := func(int) {
		res, retryAfter, outs := h.node.Spend(h.clock(), acq)
		h.post(outs)
		if res == nil {
			h.node.Reject(h.clock(), org, tokens, retryAfter, true)
			done(false)
			return
		}
		a := &admission{at: h.w.now, tokens: tokens}
		h.w.log[name] = append(h.w.log[name], a)
		done(true)
		if refundable > 0 {
			h.later(h.w.upTo(8*time.Second), func() {
				a.settled, a.unused = h.w.now, h.w.rng.Int64N(refundable+1)
				h.post(h.node.Refund(h.clock(), res, a.unused))
			})
		}
	}
	req, ok := h.node.AskOwner(h.clock(), acq, false, true)
	if !ok || acq.Done() {
		h.rounds(acq, finish, 0)
		return
	}
	h.w.st.trips++
	h.call(req, time.Second, func(answer quota.Grant, ok bool) {
		h.post(h.node.Collect(h.clock(), acq, req, answer, ok))
		if ok {
			finish(0)
			return
		}
		h.rounds(acq, finish, 0)
	})
}

// post sends settlements in batches every 100 ms.
func (h *host) post(outs []quota.OutSettlement) {
	for _, out := range outs {
		h.outbox[out.Addr] = append(h.outbox[out.Addr], out.Settlement)
	}
	if len(outs) == 0 || h.flushPending {
		return
	}
	h.flushPending = true
	h.later(100*time.Millisecond, func() {
		h.flushPending = false
		for _, addr := range sortedKeys(h.outbox) {
			list := h.outbox[addr]
			h.send(addr, 24*len(list), func(p *host) {
				for _, s := range list {
					p.post(p.node.Settle(p.clock(), s))
				}
			})
		}
		clear(h.outbox)
	})
}

func askSize(a quota.Ask) int {
	return proto.Size(&peerpb.GrantRequest{Asks: []*peerpb.Ask{{
		Org: a.Org, Tokens: a.Tokens, Refundable: a.Refundable, Partial: a.Partial, Onward: a.AskRemote,
	}}})
}

func leaseSize(l quota.Lease) int {
	return proto.Size(&peerpb.SlotLease{
		Slot: uint32(l.Slot), Length: int64(l.Length), Seq: l.Seq, Members: quota.Digest(l.Members),
	})
}

func sortedKeys(m map[netip.AddrPort][]quota.Settlement) []netip.AddrPort {
	var keys []netip.AddrPort
	for addr := range m {
		keys = append(keys, addr)
	}
	return sortAddrs(keys)
}

package quota

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

const (
	// maxRounds bounds the round trips to other data centres for one request.
	// With 4 rounds, 3% to 6% of the requests within the rate were rejected in
	// a fleet of 21 data centres.
	maxRounds = 8
	// spreadShift sets how many pools the first round asks: pools with
	// 2^spreadShift times the missing tokens. Compared with 0, a shift of 2
	// rejects about 40% fewer requests within the rate and saves round trips,
	// at the price of a quarter more messages with 370 hosts.
	spreadShift = 2
	// estimateTTL is how long an estimate of a remote pool is used. Refunds and
	// new leases in the remote data centre can make it too low.
	estimateTTL = time.Second
	// failureBackoff is how long a pool that did not answer is not asked again.
	failureBackoff = time.Second
)

// estimate is an upper bound on the level of a pool in another data centre,
// in nanotokens.
type estimate struct {
	level       int64
	limit       limit
	at          time.Duration
	failedUntil time.Duration // the pool is not asked before this time
}

// levelAt returns the upper bound at t. An expired estimate counts as full.
func (e *estimate) levelAt(t time.Duration) int64 {
	if t-e.at > estimateTTL {
		return e.limit.burst
	}
	add, _ := mulDiv(e.limit.rate, int64(max(0, t-e.at)), 0, nano)
	return min(e.limit.burst, e.level+add)
}

// estimate returns the estimate of an organisation's pool in a data centre.
func (n *Node) estimate(t time.Duration, org *model.Org, site string) *estimate {
	sites := n.remotes[org.Name]
	if sites == nil {
		sites = map[string]*estimate{}
		n.remotes[org.Name] = sites
	}
	full := n.shares.slotLimit(org, site).times(int64(n.shares.Slots(site)))
	e := sites[site]
	if e == nil {
		e = &estimate{level: full.burst, at: t}
		sites[site] = e
	}
	e.limit = full
	return e
}

// raiseEstimate raises the estimate of a remote pool by returned tokens.
func (n *Node) raiseEstimate(org, site string, tokens int64) {
	if e := n.remotes[org][site]; e != nil {
		e.level = min(e.limit.burst, e.level+toNano(tokens))
	}
}

// Request is an Ask to be sent to the host that owns the pool.
type Request struct {
	Addr netip.AddrPort
	Site string // empty for the owner in the local data centre
	Ask  Ask
	sent time.Duration
}

// Acquisition collects the tokens of one request from several pools. Its parts are
// valid for GrantLength from its start, which is not later than the time at
// which any ask was sent.
type Acquisition struct {
	org             *model.Org
	need            int64
	refundable      int64
	regions         []string
	parts           []Part
	got             int64
	gotRefundable   int64 // sum of Refundable over parts
	start           time.Duration
	rounds          int
	refillRate      int64         // sum over the counted pools, nanotokens per second
	burst           int64         // sum over the counted pools, nanotokens
	ownerRetryAfter time.Duration // Grant.RetryAfter of a local owner that asked remote pools
	counted         map[string]bool
}

// Acquire starts to collect tokens of org from this host's pool and the pools
// of remote data centres in the given regions; nil allows all. When another
// host owns the pool of the local data centre, ask it first: see AskOwner.
func (n *Node) Acquire(now time.Time, org *model.Org, tokens, refundable int64, regions []string) *Acquisition {
	t := n.advanceClock(now)
	acq := &Acquisition{org: org, need: tokens, refundable: refundable, regions: regions, start: t, counted: map[string]bool{}}
	if n.view.owner(org.Name) != n.self {
		return acq
	}
	p := n.pool(t, org)
	acq.refillRate, acq.burst = p.limit.rate, p.limit.burst
	if p.level >= toNano(tokens) {
		n.takeLocal(t, acq, tokens)
	}
	return acq
}

// takeLocal adds tokens from this host's pool.
func (n *Node) takeLocal(t time.Duration, acq *Acquisition, tokens int64) {
	if id, taken := n.grant(t, acq.org, tokens, max(0, acq.refundable-acq.gotRefundable), true); id != 0 {
		acq.add(Part{Addr: n.self, ID: id, Tokens: taken.tokens / nano}, taken.refundable/nano)
	}
}

// Unrestricted reports whether regions, those allowed for a request, include
// all that the organisation may use; nil stands for all. Only then may the
// owner of the pool ask remote pools itself (Ask.AskRemote), because an Ask names
// the organisation but not the regions allowed for the request.
func (n *Node) Unrestricted(org *model.Org, regions []string) bool {
	if regions == nil {
		return true
	}
	for region := range n.shares.layout.regions {
		usable := len(org.Regions) == 0 || slices.Contains(org.Regions, region)
		if usable && !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}

// add adds a part of which at most refundable tokens may be refunded.
func (acq *Acquisition) add(p Part, refundable int64) {
	p.Refundable = max(0, min(p.Tokens, acq.refundable-acq.gotRefundable, refundable))
	acq.parts = append(acq.parts, p)
	acq.got += p.Tokens
	acq.gotRefundable += p.Refundable
}

// Done reports whether enough tokens have been collected.
func (acq *Acquisition) Done() bool { return acq.got >= acq.need }

// AskOwner returns the request for the missing tokens to the owner of the pool
// in the local data centre, or false when the owner is this host or unknown.
func (n *Node) AskOwner(now time.Time, acq *Acquisition, partial, askRemote bool) (Request, bool) {
	t := n.advanceClock(now)
	owner := n.view.owner(acq.org.Name)
	if !owner.IsValid() || owner == n.self {
		return Request{}, false
	}
	ask := Ask{Org: acq.org.Name, Tokens: acq.need - acq.got, Refundable: max(0, acq.refundable-acq.gotRefundable), Partial: partial, AskRemote: askRemote}
	return Request{Addr: owner, Ask: ask, sent: t}, true
}

// candidate is a pool that may be asked in a round: one per data centre.
type candidate struct {
	site      string
	addr      netip.AddrPort
	preferred bool
	level     int64
	tieBreak  uint32
}

// Round returns the requests of the next round, to be sent concurrently. It
// returns none when acq is done or no pool can contribute. The first round
// spreads the missing tokens over pools that hold 2^spreadShift times as many;
// each later round doubles that factor.
func (n *Node) Round(now time.Time, acq *Acquisition) []Request {
	t := n.advanceClock(now)
	if acq.Done() || acq.rounds >= maxRounds || t-acq.start >= GrantLength || n.view == nil {
		return nil
	}
	acq.rounds++
	list := n.candidates(t, acq)
	missing, sum := toNano(acq.need-acq.got), int64(0)
	for i, c := range list {
		if sum += c.level; sum>>(acq.rounds+spreadShift-1) >= missing {
			list = list[:i+1]
			break
		}
	}
	if sum < missing/2 || sum == 0 {
		return nil // refunds can make estimates too low, but rarely by half
	}
	return n.split(t, acq, list, missing, sum)
}

// candidates returns the pools that may hold tokens: first this host's pool,
// then those of the local region that are at least half full, then the others,
// both by descending level.
func (n *Node) candidates(t time.Duration, acq *Acquisition) []candidate {
	list := n.remoteCandidates(t, acq)
	if n.view.owner(acq.org.Name) == n.self {
		if level := n.pool(t, acq.org).level / nano * nano; level > 0 {
			list = slices.Insert(list, 0, candidate{addr: n.self, level: level})
		}
	}
	return list
}

// remoteCandidates returns the pools of remote data centres that may hold
// tokens, in the order in which to ask them, and counts their limits in acq.
func (n *Node) remoteCandidates(t time.Duration, acq *Acquisition) []candidate {
	var list []candidate
	region := n.shares.layout.sites[n.site].Region
	for _, r := range n.view.Remotes {
		if r.Site == n.site || acq.regions != nil && !slices.Contains(acq.regions, r.Region) {
			continue
		}
		addr := r.Owner(Duty(acq.org.Name))
		e := n.estimate(t, acq.org, r.Site)
		if !addr.IsValid() || t < e.failedUntil {
			continue
		}
		if !acq.counted[r.Site] {
			acq.counted[r.Site] = true
			acq.refillRate += e.limit.rate
			acq.burst += e.limit.burst
		}
		if level := e.levelAt(t) / nano * nano; level > 0 {
			preferred := r.Region == region && level >= e.limit.burst/2
			list = append(list, candidate{r.Site, addr, preferred, level, n.rng.Uint32()})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.preferred != b.preferred {
			if a.preferred {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	return list
}

// split divides the missing tokens among the pools in proportion to their
// levels. It does not empty this host's pool first: a full pool loses its
// refill, so levels are kept balanced where that needs no more round trips.
func (n *Node) split(t time.Duration, acq *Acquisition, list []candidate, missing, sum int64) []Request {
	var reqs []Request
	left, refund := missing/nano, max(0, acq.refundable-acq.gotRefundable)
	for i, c := range list {
		x, _ := mulDiv(missing, c.level, 0, sum)
		tokens := min(left, (x+nano-1)/nano)
		if i == len(list)-1 {
			tokens = left
		}
		if tokens <= 0 {
			continue
		}
		left -= tokens
		if c.addr == n.self {
			n.takeLocal(t, acq, tokens)
			refund = max(0, acq.refundable-acq.gotRefundable)
			continue
		}
		back := min(refund, tokens)
		refund -= back
		ask := Ask{Org: acq.org.Name, Tokens: tokens, Refundable: back, Partial: true}
		reqs = append(reqs, Request{Addr: c.addr, Site: c.site, Ask: ask, sent: t})
		// Concurrent requests must not rely on the same tokens.
		e := n.estimate(t, acq.org, c.site)
		e.level, e.at = max(0, e.levelAt(t)-tokens*nano), t
	}
	return reqs
}

// Collect adds the grant for a request; ok is false when there was none. The
// tokens of a grant that arrived too late are returned to their pool.
func (n *Node) Collect(now time.Time, acq *Acquisition, req Request, grant Grant, ok bool) []OutSettlement {
	t := n.advanceClock(now)
	if req.Site != "" {
		e := n.estimate(t, acq.org, req.Site)
		switch {
		case !ok:
			e.failedUntil = t + failureBackoff
		case grant.Tokens < req.Ask.Tokens:
			// The pool was empty at some time after the request was sent.
			e.level, e.at = 0, req.sent
		}
	} else if ok {
		n.recordOwnerAnswer(acq, req.Ask, grant)
	}
	if !ok || grant.ID == 0 || grant.Tokens <= 0 {
		return nil
	}
	part := Part{Addr: req.Addr, Site: req.Site, ID: grant.ID, Tokens: grant.Tokens}
	if t-acq.start >= GrantLength || acq.Done() {
		return n.settleParts(t, acq.org.Name, []Part{part}, part.Tokens, true, false)
	}
	acq.add(part, part.Tokens)
	return nil
}

// recordOwnerAnswer records the retry time reported by the owner in the local
// data centre or, if it did not ask remote pools, counts the limit of its pool.
func (n *Node) recordOwnerAnswer(acq *Acquisition, ask Ask, answer Grant) {
	if ask.AskRemote {
		acq.ownerRetryAfter = answer.RetryAfter
		return
	}
	local := n.shares.slotLimit(acq.org, n.site).times(int64(n.shares.Slots(n.site)))
	acq.refillRate += local.rate
	acq.burst += local.burst
}

// Finish ends an acquisition. It returns the parts when they suffice and are still
// valid. Otherwise it returns their tokens to the pools and reports after what
// time enough tokens may be available, or -1 when refill alone cannot suffice.
func (n *Node) Finish(now time.Time, acq *Acquisition) (parts []Part, retryAfter time.Duration, outs []OutSettlement) {
	t := n.advanceClock(now)
	if acq.Done() && t-acq.start < GrantLength {
		return append([]Part{}, acq.parts...), 0, nil
	}
	outs = n.settleParts(t, acq.org.Name, acq.parts, acq.got, true, false)
	if acq.ownerRetryAfter != 0 {
		return nil, acq.ownerRetryAfter, outs
	}
	if acq.burst > 0 && toNano(acq.need) > acq.burst {
		return nil, -1, outs
	}
	return nil, refillTime(toNano(max(1, acq.need-acq.got)), acq.refillRate), outs
}

// FinishAsGrant ends an acquisition on behalf of another host: it combines the
// parts into one grant of this host.
func (n *Node) FinishAsGrant(now time.Time, acq *Acquisition) (Grant, []OutSettlement) {
	parts, retryAfter, outs := n.Finish(now, acq)
	if parts == nil {
		return Grant{RetryAfter: retryAfter}, outs
	}
	if len(parts) == 1 && parts[0].Addr == n.self {
		return Grant{ID: parts[0].ID, Tokens: acq.got}, outs
	}
	p := n.pool(n.now, acq.org)
	return Grant{ID: n.addGrant(n.now, acq.org.Name, p, &grant{parts: parts}), Tokens: acq.got}, outs
}

// Reservation is the tokens that one admitted request has spent.
type Reservation struct {
	Org    string
	Tokens int64
	Parts  []Part
}

// Spend spends the collected parts, which admits the request. If the parts do
// not suffice or have expired in the meantime, it returns nil, a retry time as
// Finish does, and the settlements that return the tokens.
func (n *Node) Spend(now time.Time, acq *Acquisition) (*Reservation, time.Duration, []OutSettlement) {
	parts, retryAfter, outs := n.Finish(now, acq)
	if parts == nil {
		return nil, retryAfter, outs
	}
	return &Reservation{Org: acq.org.Name, Tokens: acq.got, Parts: parts}, 0, n.spendParts(n.now, acq.org.Name, parts)
}

// Refund ends a reservation and returns its unused tokens.
func (n *Node) Refund(now time.Time, r *Reservation, unused int64) []OutSettlement {
	return n.settleParts(n.advanceClock(now), r.Org, r.Parts, unused, false, true)
}

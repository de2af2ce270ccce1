package relay

import (
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/steer"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
)

// lender returns another host of the region, by which the request is sent because that one
// has room at servers with refusal limits and this one has none.
func (q *request) lender(svc *fleet.Service, now time.Time) (fleet.Lender, bool) {
	if svc == nil || q.forwarded || !q.allows(q.s.fleet.LocalRegion()) {
		return fleet.Lender{}, false
	}
	if w, ok := svc.Table.ShortestWait(q.target, now); !ok || !w.Full {
		return fleet.Lender{}, false
	}
	list := q.s.fleet.Lenders(q.service, now)
	hosts := make([]steer.Host, 0, len(list))
	for _, l := range list {
		hosts = append(hosts, steer.Host{Addr: l.Addr, Weight: l.Weight})
	}
	addr, ok := q.pickNeighbour(hosts)
	for _, l := range list {
		if ok && l.Addr == addr {
			return l, true
		}
	}
	return fleet.Lender{}, false
}

// useLender records that the request is sent to a host that has room.
func (q *request) useLender(svc *fleet.Service, l fleet.Lender) {
	q.lentBy = l.Name
	q.chosenFrom = svc
	svc.Table.Lend(l.Name)
}

// endLoan records the outcome of an attempt at a host that had room, and returns whether that
// host had none left or was not reached, so that another one may be asked.
func (q *request) endLoan(res retry.Result, o pick.Outcome) (again bool) {
	if q.lentBy == "" {
		return false
	}
	again = res == retry.NotRun && (o == pick.NotRun && q.unsent || o == pick.NoConnect)
	q.chosenFrom.Table.Lent(q.lentBy, again || o == pick.Broken)
	q.s.stats.Lent(q.service, outcomeName(o))
	return again && time.Now().Before(q.holdUntil) && !cancelled(q.ctx)
}

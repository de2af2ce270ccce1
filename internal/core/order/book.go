package order

import (
	"container/list"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Limits holds the limits on the ticket records of a host. A zero field means
// the default.
type Limits struct {
	// TicketTTL is how long a ticket is valid; default 1 h. A repeat after that
	// is rejected with reason unknown.
	TicketTTL time.Duration
	// Records is the maximum number of records; default 50,000, about 15 MB.
	// Further bookings are rejected, because dropping a record before its
	// ticket expires would allow a second run.
	Records int
	// Bytes is the maximum total size of the bodies of recorded responses;
	// default 16 MiB. The oldest ones are dropped first, and repeats of their
	// bookings are rejected with reason unknown.
	Bytes int
}

// withDefaults returns l with zero fields replaced by the defaults.
func (l Limits) withDefaults() Limits {
	if l.TicketTTL <= 0 {
		l.TicketTTL = time.Hour
	}
	if l.Records <= 0 {
		l.Records = 50_000
	}
	if l.Bytes <= 0 {
		l.Bytes = 16 << 20
	}
	return l
}

// Book holds the records of the tickets that one host issued since its start.
// It is not safe for concurrent use.
type Book struct {
	owner       netip.AddrPort
	incarnation int64
	limits      Limits

	records      map[string]*entry
	order        *list.List // of *entry, in order of their first use
	withResponse *list.List // of *entry with a response, oldest first
	bytes        int
	latest       time.Time
}

// entry is the record of one ticket.
type entry struct {
	ticket       Ticket
	record       Record
	orderElem    *list.Element // in order
	responseElem *list.Element // in withResponse, or nil
}

// NewBook returns an empty book for one incarnation of a host.
func NewBook(owner netip.AddrPort, incarnation int64, limits Limits) *Book {
	return &Book{
		owner: owner, incarnation: incarnation, limits: limits.withDefaults(),
		records: make(map[string]*entry), order: list.New(), withResponse: list.New(),
	}
}

// Issue returns a new ticket with the given id, which must be random. The book
// does not record the ticket until Begin.
func (b *Book) Issue(org, id string, now time.Time) Ticket {
	now = b.monotonic(now)
	return Ticket{
		Org: org, Owner: b.owner, Incarnation: b.incarnation, ID: id,
		Issued: now, Until: now.Add(b.limits.TicketTTL),
	}
}

// monotonic returns now, or the latest time seen if the clock was set back,
// because a ticket whose record was dropped must remain expired.
func (b *Book) monotonic(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

// Begin starts the booking of a ticket that was checked by a Signer. digest is
// the digest of the request. Both results are nil for a new booking: the caller
// may dispatch it and must call Finish. For a repeat Begin returns the recorded
// response or a rejection. If the booking is not finished by until, its outcome
// is treated as unknown.
func (b *Book) Begin(t Ticket, digest string, now, until time.Time) (*Response, *model.Rejection) {
	now = b.monotonic(now)
	b.expire()
	if t.Owner != b.owner || t.Incarnation != b.incarnation {
		return nil, OwnerUnreachable()
	}
	if !now.Before(t.Until) {
		return nil, unknown("the ticket has expired")
	}
	if e := b.records[t.ID]; e != nil {
		return e.record.Repeat(digest, now)
	}
	if len(b.records) >= b.limits.Records {
		return nil, model.Reject(model.ReasonOverloaded, "too many bookings with tickets").WithRetryAfter(retryAfter)
	}
	e := &entry{ticket: t, record: Record{State: StateRunning, Body: digest, Until: until}}
	e.orderElem = b.order.PushBack(e)
	b.records[t.ID] = e
	return nil, nil
}

// Finish records the outcome of the booking of a ticket.
func (b *Book) Finish(id string, o Outcome) {
	e := b.records[id]
	if e == nil || e.record.State != StateRunning {
		return
	}
	e.record = e.record.Finish(o)
	if e.record.State == StateFree {
		b.remove(e)
		return
	}
	if e.record.Response != nil {
		e.responseElem = b.withResponse.PushBack(e)
		b.bytes += len(e.record.Response.Body)
	}
	for b.bytes > b.limits.Bytes {
		b.dropResponse(b.withResponse.Front().Value.(*entry))
	}
}

// Len returns the number of records.
func (b *Book) Len() int { return len(b.records) }

// expire drops the records of expired tickets, in order of first use, up to the
// first ticket that is still valid. A record after it is kept for at most
// TicketTTL longer than necessary.
func (b *Book) expire() {
	for first := b.order.Front(); first != nil; first = b.order.Front() {
		e := first.Value.(*entry)
		if b.latest.Before(e.ticket.Until) {
			return
		}
		b.remove(e)
	}
}

// remove drops a record with its response.
func (b *Book) remove(e *entry) {
	b.dropResponse(e)
	b.order.Remove(e.orderElem)
	delete(b.records, e.ticket.ID)
}

// dropResponse drops the response of a record, if it has one.
func (b *Book) dropResponse(e *entry) {
	if e.responseElem == nil {
		return
	}
	b.withResponse.Remove(e.responseElem)
	b.bytes -= len(e.record.Response.Body)
	e.responseElem, e.record.Response = nil, nil
}

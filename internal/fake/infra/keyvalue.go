package infra

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// record is the state of a key. The record of a deleted key remains, so that versions
// keep increasing if the key is created again.
type record struct {
	value    []byte
	version  uint64
	exists   bool
	lease    string  // ID of the lease that the key is bound to, if any
	previous *record // state before the last change, for Fault.Old
}

// lease is a lease with its fencing token and expiry time.
type lease struct {
	token   uint64
	ttl     time.Duration
	expires time.Time
}

// keyValue is the state of the key-value service. Platform.mu guards it.
type keyValue struct {
	records map[string]*record
	leases  map[string]*lease
	lastID  uint64        // number in the ID of the latest lease
	token   uint64        // latest fencing token
	changed chan struct{} // closed and replaced on each change
}

func newKeyValue() *keyValue {
	return &keyValue{
		records: make(map[string]*record),
		leases:  make(map[string]*lease),
		changed: make(chan struct{}),
	}
}

// set replaces the record of a key and returns its new version.
func (kv *keyValue) set(key string, value []byte, exists bool, leaseID string) uint64 {
	old := kv.records[key]
	if old == nil {
		old = &record{}
	}
	previous := *old
	previous.previous = nil
	kv.records[key] = &record{value: value, version: old.version + 1, exists: exists, lease: leaseID, previous: &previous}
	kv.notify()
	return old.version + 1
}

// notify makes waiting watches check their key again.
func (kv *keyValue) notify() {
	close(kv.changed)
	kv.changed = make(chan struct{})
}

// lookup returns the state of a key, or nil if it does not exist.
func (kv *keyValue) lookup(key string, old bool) *record {
	r := kv.records[key]
	if r != nil && old {
		r = r.previous
	}
	if r == nil || !r.exists {
		return nil
	}
	return r
}

// revoke removes a lease and deletes its keys.
func (kv *keyValue) revoke(id string) {
	delete(kv.leases, id)
	for key, r := range kv.records {
		if r.exists && r.lease == id {
			kv.set(key, nil, false, "")
		}
	}
}

// expire revokes expired leases and returns the expiry time of the next one.
func (kv *keyValue) expire(now time.Time) (next time.Time) {
	for id, l := range kv.leases {
		if !now.Before(l.expires) {
			kv.revoke(id)
		} else if next.IsZero() || l.expires.Before(next) {
			next = l.expires
		}
	}
	return next
}

// lock locks the mutex, revokes expired leases and returns the function that unlocks.
func (p *Platform) lock() func() {
	p.mu.Lock()
	p.kv.expire(p.clock.Now())
	return p.mu.Unlock
}

// get serves GET /v1/kv/{key}.
func (p *Platform) get(r *http.Request, _ []byte, old bool) reply {
	defer p.lock()()
	rec := p.kv.lookup(r.PathValue("key"), old)
	if rec == nil {
		return textReply(http.StatusNotFound, "key does not exist")
	}
	return reply{status: http.StatusOK, version: rec.version, body: rec.value}
}

// checkPrev compares the parameter prev with the version of the key, for compare-and-swap.
// If ok is false, rep is the response.
func (p *Platform) checkPrev(r *http.Request) (rep reply, ok bool) {
	prev, err := strconv.ParseUint(r.URL.Query().Get("prev"), 10, 64)
	if err != nil {
		return textReply(http.StatusBadRequest, "parameter prev: want a version"), false
	}
	rec := p.kv.lookup(r.PathValue("key"), false)
	if rec == nil && prev == 0 {
		return reply{}, true
	}
	if rec == nil {
		return reply{status: http.StatusConflict}, false
	}
	if rec.version != prev {
		return reply{status: http.StatusConflict, version: rec.version}, false
	}
	return reply{}, true
}

// put serves PUT /v1/kv/{key}.
func (p *Platform) put(r *http.Request, body []byte, _ bool) reply {
	defer p.lock()()
	id := r.URL.Query().Get("lease")
	if _, ok := p.kv.leases[id]; id != "" && !ok {
		return textReply(http.StatusNotFound, "lease does not exist")
	}
	if rep, ok := p.checkPrev(r); !ok {
		return rep
	}
	return reply{status: http.StatusOK, version: p.kv.set(r.PathValue("key"), body, true, id)}
}

// delete serves DELETE /v1/kv/{key}.
func (p *Platform) delete(r *http.Request, _ []byte, _ bool) reply {
	defer p.lock()()
	key := r.PathValue("key")
	if p.kv.lookup(key, false) == nil {
		return textReply(http.StatusNotFound, "key does not exist")
	}
	if rep, ok := p.checkPrev(r); !ok {
		return rep
	}
	p.kv.set(key, nil, false, "")
	return reply{status: http.StatusOK}
}

// item is the entry of a key in the response of list.
type item struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// list serves GET /v1/kv?prefix=P.
func (p *Platform) list(r *http.Request, _ []byte, old bool) reply {
	defer p.lock()()
	items := []item{}
	prefix := r.URL.Query().Get("prefix")
	for key := range p.kv.records {
		if rec := p.kv.lookup(key, old); rec != nil && strings.HasPrefix(key, prefix) {
			items = append(items, item{key, rec.version})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	return jsonReply(http.StatusOK, items)
}

// watch serves GET /v1/watch. It waits until the version of a key is above the parameter
// after. A key that does not exist counts as unchanged.
func (p *Platform) watch(r *http.Request, _ []byte, old bool) reply {
	key := r.URL.Query().Get("key")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return textReply(http.StatusBadRequest, "parameter after: want a version")
	}
	timeout := p.clock.After(watchTimeout)
	for {
		unlock := p.lock()
		rec, changed := p.kv.lookup(key, old), p.kv.changed
		var fault Fault
		if f := p.faults[PartKV]; f != nil {
			fault = *f
		}
		unlock()
		if fault.Down {
			return textReply(http.StatusServiceUnavailable, "down")
		}
		if fault.Hang {
			<-r.Context().Done()
			return reply{status: http.StatusNoContent}
		}
		if rec != nil && (rec.version > after || old) {
			return reply{status: http.StatusOK, version: rec.version, body: rec.value}
		}
		select {
		case <-r.Context().Done():
			return reply{status: http.StatusNoContent}
		case <-timeout:
			return reply{status: http.StatusNoContent}
		case <-changed:
		}
	}
}

// leaseBody is the JSON form of a lease.
type leaseBody struct {
	ID    string   `json:"id,omitempty"`
	Token uint64   `json:"token,omitempty"`
	TTL   Duration `json:"ttl"`
}

// newLease serves POST /v1/leases.
func (p *Platform) newLease(_ *http.Request, body []byte, _ bool) reply {
	var b leaseBody
	if err := json.Unmarshal(body, &b); err != nil || b.TTL <= 0 {
		return textReply(http.StatusBadRequest, "want a ttl such as 10s")
	}
	defer p.lock()()
	p.kv.lastID++
	p.kv.token++
	b.ID, b.Token = "l"+strconv.FormatUint(p.kv.lastID, 10), p.kv.token
	ttl := time.Duration(b.TTL)
	p.kv.leases[b.ID] = &lease{token: b.Token, ttl: ttl, expires: p.clock.Now().Add(ttl)}
	return jsonReply(http.StatusOK, b)
}

// renewLease serves PUT /v1/leases/{id}.
func (p *Platform) renewLease(r *http.Request, _ []byte, _ bool) reply {
	defer p.lock()()
	id := r.PathValue("id")
	l := p.kv.leases[id]
	if l == nil {
		return textReply(http.StatusNotFound, "lease does not exist")
	}
	l.expires = p.clock.Now().Add(l.ttl)
	return jsonReply(http.StatusOK, leaseBody{ID: id, Token: l.token, TTL: Duration(l.ttl)})
}

// deleteLease serves DELETE /v1/leases/{id}.
func (p *Platform) deleteLease(r *http.Request, _ []byte, _ bool) reply {
	defer p.lock()()
	id := r.PathValue("id")
	if p.kv.leases[id] == nil {
		return textReply(http.StatusNotFound, "lease does not exist")
	}
	p.kv.revoke(id)
	return reply{status: http.StatusOK}
}

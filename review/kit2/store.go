package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems bounds the items of a page of a range.
const pageItems = 500

// store is a stand-in of the platform's store. It is safe for concurrent use.
type store struct {
	// addr is the address for hosts, trusted that for backend servers, which may write their
	// own entries.
	addr, trusted string

	mu     sync.Mutex
	items  map[string]storeItem
	leases map[int64]storeLease
	rev    int64
	// calls counts the calls of hosts by path.
	calls map[string]int
}

type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// newStore starts a store.
func newStore() (*store, error) {
	s := &store{items: make(map[string]storeItem), leases: make(map[int64]storeLease), rev: 100, calls: make(map[string]int)}
	for _, l := range []struct {
		addr    *string
		handler http.Handler
	}{
		{&s.addr, http.HandlerFunc(s.serveHost)},
		{&s.trusted, http.HandlerFunc(s.serve)},
	} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		*l.addr = ln.Addr().String()
		srv := &http.Server{Handler: l.handler, ReadHeaderTimeout: 10 * time.Second}
		go func() { _ = srv.Serve(ln) }() // ends with the process
	}
	return s, nil
}

// awaitCall waits until a host has called a path again.
func (s *store) awaitCall(path string) {
	count := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.calls[path]
	}
	for before := count(); count() == before; {
		time.Sleep(time.Millisecond)
	}
}

// put writes a key without a lease, as the operator does, and returns its revision.
func (s *store) put(key string, value any) (int64, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(key, b, 0), nil
}

// set writes a key. The caller holds mu.
func (s *store) set(key string, value []byte, lease int64) int64 {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = storeItem{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	return s.rev
}

// expire removes the leases that have ended, with their keys. The caller holds mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.rev++
			delete(s.items, key)
		}
	}
}

// serveHost serves a call of a host.
func (s *store) serveHost(w http.ResponseWriter, r *http.Request) {
	s.serveView(w, r, func(it storeItem) storeItem { return it })
}

// serveView serves a call of a host that sees the items of ranges changed by a function.
func (s *store) serveView(w http.ResponseWriter, r *http.Request, change func(storeItem) storeItem) {
	s.mu.Lock()
	s.expire()
	status, out := s.handle(r)
	s.mu.Unlock()
	if p, ok := out.(storePage); ok {
		for i := range p.Items {
			p.Items[i] = change(p.Items[i])
		}
	}
	s.write(w, status, out)
	s.mu.Lock()
	s.calls[r.URL.Path]++
	s.mu.Unlock()
}

// serve serves a call of a backend server.
func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	status, out := s.handle(r)
	s.mu.Unlock()
	s.write(w, status, out)
}

// write writes the answer to a call.
func (s *store) write(w http.ResponseWriter, status int, out any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out) // the caller may have left
	}
}

// handle carries out a call. The caller holds mu.
func (s *store) handle(r *http.Request) (int, any) {
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/-/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, it
	case path == "/-/kv-range":
		return http.StatusOK, s.page(q.Get("prefix"), q.Get("after"))
	case path == "/-/kv-txn":
		return s.txn(r)
	case path == "/-/kv-lease":
		return s.grant(r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-keep/"), 10, 64) // 0 does not exist
		l, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, nil
		}
		l.until = time.Now().Add(l.ttl)
		s.leases[id] = l
		return http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64) // 0 does not exist
		s.endLease(id)
		return http.StatusOK, map[string]int64{}
	}
	return http.StatusNotFound, nil
}

type storePage struct {
	Items []storeItem `json:"items"`
	More  bool        `json:"has_more"`
	Rev   int64       `json:"current_rev"`
}

// page returns a page of a range. The caller holds mu.
func (s *store) page(prefix, after string) storePage {
	p := storePage{Items: []storeItem{}, Rev: s.rev}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Items = append(p.Items, it)
		}
	}
	slices.SortFunc(p.Items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Items) > pageItems {
		p.Items = p.Items[:pageItems]
		p.More = true
	}
	return p
}

type storeWrite struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

type storeTxn struct {
	Expect []storeItem  `json:"expect"`
	Writes []storeWrite `json:"writes"`
	Remove []string     `json:"remove"`
}

// txn carries out a transaction. The caller holds mu.
func (s *store) txn(r *http.Request) (int, any) {
	var t storeTxn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, nil
	}
	for _, e := range t.Expect {
		if s.items[e.Key].Rev != e.Rev {
			return http.StatusPreconditionFailed, map[string]any{"items": []storeItem{}}
		}
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, w := range t.Writes {
		s.set(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Remove {
		s.rev++
		delete(s.items, key)
	}
	return http.StatusOK, map[string]int64{"rev": s.rev}
}

// grant grants a lease. The caller holds mu.
func (s *store) grant(r *http.Request) (int, any) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, nil
	}
	s.rev++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.rev] = storeLease{ttl: ttl, until: time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"lease": s.rev, "ttl_ms": in.TTL}
}

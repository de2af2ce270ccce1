package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

const (
	// revokeBound is revoke_ms of the rule.
	revokeBound = 5 * time.Second
	// revokePause is the time between two requests of a client.
	revokePause = 200 * time.Millisecond
)

// tenantKey is a tenant of a configuration with its only key.
type tenantKey struct{ name, key string }

// putTenants writes a version of the configuration with these tenants, and returns when the
// store has acknowledged it.
func putTenants(s *plattest.Store, version int, tenants ...tenantKey) (time.Time, error) {
	var cfg map[string]any
	err := json.Unmarshal(plattest.Config{
		Version: version, Services: []string{"counter"},
		Routes: []plattest.Route{{Prefix: "/order/", Service: "counter", Kind: "unsafe", Attempts: 1, TimeoutMS: 4000}},
	}.JSON(), &cfg)
	if err != nil {
		return time.Time{}, fmt.Errorf("decode configuration: %w", err)
	}
	list := []map[string]any{}
	for _, t := range tenants {
		list = append(list, map[string]any{
			"name": t.name, "api_keys": []string{t.key}, "priority": 1, "unit": "generate", "plain_tokens": 200,
			"rate_per_s": 566635, "burst": 566635, "home_regions": []string{},
		})
	}
	cfg["tenants"] = list
	b, err := json.Marshal(cfg)
	if err != nil {
		return time.Time{}, fmt.Errorf("encode configuration: %w", err)
	}
	s.Put(platform.ConfigKey, b)
	return time.Now(), nil
}

// playRevoke takes the keys of the two tenants away, one version after the other. Their
// clients go on sending over kept connections.
func playRevoke(p *play) (bool, error) {
	zones := []zone{{"a1", "ra"}, {"b1", "rb"}}
	d, err := newDeployment(zones...)
	if err != nil {
		return false, err
	}
	defer d.close()
	tenants := []tenantKey{{"quimper", "key-quimper"}, {"vannes", "key-vannes"}}
	if _, err := putTenants(d.store, 1, tenants...); err != nil {
		return false, err
	}
	var mu sync.Mutex
	keyOf := make(map[string]tenantKey)   // by request
	sentAt := make(map[string]time.Time)  // by request
	revoked := make(map[string]time.Time) // by key
	ran, late := make(map[string]int), 0  // runs by key; requests that ran too late
	run := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Attempt-Id")
		mu.Lock()
		t, sent := keyOf[id], sentAt[id]
		ran[t.key]++
		if at, ok := revoked[t.key]; ok && sent.Sub(at) > revokeBound {
			late++
			p.record("worker runs request %s with %s, sent %.3f s after the store acknowledged that it was taken away; X-Tenant %q", id, t.key, sent.Sub(at).Seconds(), r.Header.Get("X-Tenant"))
		}
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprint(w, id) // the caller notices a cut
	}
	for i, z := range zones {
		w, err := newWorker(d.store, fmt.Sprintf("i-%d", i), "counter", z, run)
		if err != nil {
			return false, err
		}
		defer w.close()
		if _, err := d.addHost(z, nil); err != nil {
			return false, err
		}
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, t := range tenants {
		for _, h := range d.hosts {
			clients.Go(func() {
				c := newClient()
				last := 0
				for {
					select {
					case <-stop:
						return
					case <-time.After(revokePause):
					}
					id := newID()
					mu.Lock()
					keyOf[id], sentAt[id] = t, time.Now()
					mu.Unlock()
					a := c.send(h.front, http.MethodPost, "/order/2f", id, map[string]string{"Api-Key": t.key}, "one board", 4*time.Second)
					if a.status != last {
						p.record("%s answers %d to request %s with %s, error %v", h.name, a.status, id, t.key, a.err)
						last = a.status
					}
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	for i, t := range tenants {
		if p.trouble {
			at, err := putTenants(d.store, 4+3*i, tenants[i+1:]...)
			if err != nil {
				return false, err
			}
			mu.Lock()
			revoked[t.key] = at
			mu.Unlock()
			p.record("the store acknowledges version %d, which takes %s away; %d tenants are left", 4+3*i, t.key, len(tenants)-i-1)
		}
		time.Sleep(9 * time.Second)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, t := range tenants {
		p.record("%d requests with %s ran", ran[t.key], t.key)
		if ran[t.key] == 0 {
			return false, fmt.Errorf("no request with %s ran", t.key)
		}
	}
	p.record("%d requests ran that were sent more than %v after their key was taken away", late, revokeBound)
	return late > 0, nil
}

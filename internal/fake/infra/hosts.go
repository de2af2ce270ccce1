package infra

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"
)

// Host is one entry of the host list of the platform.
type Host struct {
	Addr netip.AddrPort `json:"addr"`
	Site string         `json:"site"`
	// State is live or leaving.
	State string `json:"state"`
}

// hostList is a version of the host list and the time at which it was set.
type hostList struct {
	setAt time.Time
	hosts []Host
}

// maxLists bounds the number of versions of the host list that are kept.
const maxLists = 1000

// SetHosts replaces the host list. Clients see the new list after Options.Lag or
// Fault.Lag.
func (p *Platform) SetHosts(hosts []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.hosts) == maxLists {
		p.hosts = slices.Delete(p.hosts, 0, 1)
	}
	p.hosts = append(p.hosts, hostList{p.clock.Now(), slices.Clone(hosts)})
}

// putHosts serves PUT /hosts, which calls SetHosts from another process.
func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	var hosts []Host
	if err == nil {
		err = json.Unmarshal(data, &hosts)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

// getHosts serves GET /v1/hosts.
func (p *Platform) getHosts(*http.Request, []byte, bool) reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := p.opts.Lag
	if f := p.faults[PartHosts]; f != nil && f.Lag > 0 {
		lag = f.Lag
	}
	at := p.clock.Now().Add(-lag)
	hosts := []Host{}
	for _, l := range p.hosts {
		if !l.setAt.After(at) {
			hosts = l.hosts
		}
	}
	return jsonReply(http.StatusOK, hosts)
}

// directoryBody is the JSON form of the directory entry of a data centre.
type directoryBody struct {
	Addrs []string `json:"addrs"`
}

// putDirectory serves PUT /v1/directory/{site}.
func (p *Platform) putDirectory(r *http.Request, body []byte, _ bool) reply {
	var b directoryBody
	if err := json.Unmarshal(body, &b); err != nil {
		return textReply(http.StatusBadRequest, "%v", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dir[r.PathValue("site")] = b.Addrs
	return reply{status: http.StatusOK}
}

// getDirectory serves GET /v1/directory/{site}.
func (p *Platform) getDirectory(r *http.Request, _ []byte, _ bool) reply {
	addrs := p.Directory(r.PathValue("site"))
	if addrs == nil {
		return textReply(http.StatusNotFound, "data centre has no entry")
	}
	return jsonReply(http.StatusOK, directoryBody{addrs})
}

// Directory returns the addresses in the directory entry of a data centre.
func (p *Platform) Directory(site string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.dir[site])
}

// getWeights serves GET /v1/weights/{model}. A token bucket limits the rate of reads;
// reads above it get status 429.
func (p *Platform) getWeights(*http.Request, []byte, bool) reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit := p.opts.Loads; limit > 0 {
		now := p.clock.Now()
		p.readTokens = min(max(limit, 1), p.readTokens+limit*now.Sub(p.readsRefilledAt).Seconds())
		p.readsRefilledAt = now
		if p.readTokens < 1 {
			rep := textReply(http.StatusTooManyRequests, "weight store is at its limit")
			rep.retry = true
			return rep
		}
		p.readTokens--
	}
	return reply{status: http.StatusOK, body: make([]byte, p.opts.Weights)}
}

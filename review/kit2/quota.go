package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the small deployment ccca-partage. The tenant's rate is the least one of the site, and
// its burst one second's rate.
const (
	tenantRate   = 47_000
	tenantBurst  = 47_000
	quotaWindow  = 8 * time.Second
	quotaExcess  = 0.1
	quotaSlack   = 190_000
	usualPrompt  = 13_300 + 3_720
	largePrompt  = 39_900 + 53_200 // the largest shared part and the largest own part
	outputTokens = 120
)

// quotaBound is the number of tokens of the tenant that may run in a window.
var quotaBound = (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaExcess) + quotaSlack

// tokenRun is a request that was run.
type tokenRun struct {
	sent, ran time.Time
	tokens    int
}

// inWindow returns the greatest number of tokens that were both sent and run in a window.
func inWindow(runs []tokenRun) int {
	most := 0
	for _, first := range runs {
		sum := 0
		for _, r := range runs {
			if !r.sent.Before(first.sent) && r.ran.Sub(first.sent) <= quotaWindow {
				sum += r.tokens
			}
		}
		most = max(most, sum)
	}
	return most
}

// startSeven starts seven hosts and three servers in the three regions of ccca-partage.
func startSeven(w *world) ([]*host, error) {
	routes := []route{{Name: "quote", Host: hostName, Prefix: "/stream/", Kind: "stream", Service: "desk", Timeout: 10000, Goal: 1000, Attempts: 1}}
	tenant := map[string]any{
		"name": "shop", "api_keys": []string{"key-1"}, "priority": 1, "unit": "generate", "plain_tokens": 200,
		"rate_per_s": tenantRate, "burst": tenantBurst, "home_regions": []string{},
	}
	if _, err := w.store.put("op/config", config(1, []string{"desk"}, routes, []map[string]any{tenant})); err != nil {
		return nil, err
	}
	sites := map[string]string{"quimper-a": "finistere", "rennes-a": "ille-vilaine", "vannes-a": "morbihan"}
	for site := range sites {
		if _, err := w.startWorker("w-"+site, "", "-zone", site); err != nil {
			return nil, err
		}
	}
	var hosts []*host
	for i, site := range []string{"quimper-a", "quimper-a", "quimper-a", "rennes-a", "rennes-a", "vannes-a", "vannes-a"} {
		h, err := w.newHost(hostOptions{name: fmt.Sprintf("h%d", i+1), site: site, region: sites[site], sites: sites, first: true})
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	var starting sync.WaitGroup
	errs := make([]error, len(hosts))
	for i, h := range hosts {
		starting.Go(func() { errs[i] = w.startHost(h) })
	}
	starting.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second) // the hosts know each other
	return hosts, nil
}

// caseHot lets a tenant send more than it may: after 9 s of its usual requests, at most four
// fifths of its rate, and a pause, one large request to each host at the same moment.
func caseHot(w *world) (verdict, error) {
	hosts, err := startSeven(w)
	if err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	sent := make(map[string]tokenRun)
	var done sync.WaitGroup
	ask := func(h *host, id string, prompt, millis int) {
		done.Go(func() {
			mu.Lock()
			sent[id] = tokenRun{sent: time.Now(), tokens: prompt + outputTokens}
			mu.Unlock()
			w.logf("caller sends %s with %d tokens", id, prompt+outputTokens)
			a := call(h.front, http.MethodPost, fmt.Sprintf("/stream/3/20/%d", millis), id, 10*time.Second,
				"Api-Key: key-1", "X-Model: m", fmt.Sprintf("X-Token-Counts: %d,%d", prompt, outputTokens), fmt.Sprintf("X-Prompt-Prefix: %x:%d", 0xabc, prompt))
			w.logf("caller got %v", a)
		})
	}
	const usual = 20 // requests in 9 s
	for i := range usual {
		ask(hosts[i%len(hosts)], fmt.Sprintf("usual-%02d", i), usualPrompt, 300)
		time.Sleep(9 * time.Second / usual)
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.logf("the tenant sends one large request to each of %d hosts", len(hosts))
		for i, h := range hosts {
			ask(h, fmt.Sprintf("large-%d", i+1), largePrompt, 1700)
		}
	}
	done.Wait()
	time.Sleep(200 * time.Millisecond)
	var runs []tokenRun
	for _, l := range w.workerLines() {
		f := strings.Fields(l.text)
		if len(f) < 3 || f[1] != "runs" {
			continue
		}
		r := sent[f[2]]
		r.ran = l.at
		runs = append(runs, r)
	}
	most := inWindow(runs)
	w.logf("%d requests of the tenant were run, at most %d tokens in %v; the bound is %.0f", len(runs), most, quotaWindow, quotaBound)
	return verdict{broken: float64(most) > quotaBound}, nil
}

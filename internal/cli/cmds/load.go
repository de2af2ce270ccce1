package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadCmd sends chat requests at a given rate and reports latencies and rejections.
type LoadCmd struct {
	Route  string         `arg:"" help:"Chat route to use."`
	Host   netip.AddrPort `help:"Address for callers of any host." default:"127.0.0.1:8000"`
	Key    []string       `help:"Files that hold keys, one per organisation; requests take them in turn." type:"existingfile"`
	Rate   float64        `help:"Requests per second, at random times (Poisson)." default:"10"`
	For    time.Duration  `help:"How long to send." default:"10s"`
	Prefix int            `help:"Number of different prompt beginnings; 0 makes every prompt different." default:"20"`
	Bytes  int            `help:"Bytes of a prompt." default:"4000"`
	Tokens int            `help:"Largest number of tokens of an answer." default:"64"`
	Class  []string       `help:"Class of callers, ROUTE=PRIORITY[,GOAL[,SHARE]]: its part of the requests and how they are reported; the priority that counts is that of the configuration. May be repeated; without it, all requests use ROUTE." sep:"none"`
	Seed   uint64         `help:"Seed of times and prompts." default:"1"`
	JSON   bool           `help:"Print JSON."`
}

const (
	// maxLoadRequests bounds the requests of one load run.
	maxLoadRequests = 1_000_000
	// maxInFlight bounds the concurrent requests.
	maxInFlight = 4096
	// loadTimeout bounds one request.
	loadTimeout = 60 * time.Second
	// maxMicros is the largest recorded time, in microseconds.
	maxMicros = int64(loadTimeout / time.Microsecond)
)

// loadReport is the result of a load run. First is the time to the first token and
// Between the time between tokens, both in milliseconds. Broken counts requests that
// got neither a complete stream nor a rejection with a reason.
type loadReport struct {
	Sent     int            `json:"sent"`
	Served   int            `json:"served"`
	Rejected map[string]int `json:"rejected,omitempty"`
	Broken   int            `json:"broken"`
	Tokens   int            `json:"tokens"`
	First    quantiles      `json:"first"`
	Between  quantiles      `json:"between"`
	Classes  []classReport  `json:"classes"`
}

// quantiles holds percentiles of a time, in milliseconds.
type quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// loadRun collects the results of the requests.
type loadRun struct {
	mu      sync.Mutex
	report  loadReport
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	classes []loadClass
}

// loadClass collects the results of a class.
type loadClass struct {
	class
	report classReport
	waits  *hdrhistogram.Histogram // until requests were refused, in microseconds
}

// Run executes the command.
func (c *LoadCmd) Run(e *env) error {
	keys, hosts, err := c.targets()
	if err != nil {
		return err
	}
	classes, err := c.classes()
	if err != nil {
		return withExitCode(ExitInput, fmt.Errorf("load: %w", err))
	}
	run := &loadRun{
		classes: classes,
		report:  loadReport{Rejected: make(map[string]int)},
		first:   hdrhistogram.New(1, maxMicros, 3), between: hdrhistogram.New(1, maxMicros, 3),
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	inFlight := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	end := time.Now().Add(c.For)
	for n := 0; n < maxLoadRequests; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second)))
		if time.Now().After(end) {
			break
		}
		k := run.pick(rng)
		r := request{route: k.route, key: keys[n%len(keys)], tokens: c.Tokens, timeout: loadTimeout, input: c.prompt(rng, n)}
		addr := hosts[n%len(hosts)]
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			run.send(client, &r, addr, k)
		})
	}
	wg.Wait()
	return run.print(e, c.JSON)
}

// classes returns the classes of callers, that of Route if none is given.
func (c *LoadCmd) classes() ([]loadClass, error) {
	parsed, err := parseClasses(c.Class)
	if err != nil {
		return nil, err
	}
	if len(parsed) == 0 {
		parsed = []class{{route: c.Route, share: 1}}
	}
	list := make([]loadClass, len(parsed))
	for i, x := range parsed {
		list[i] = loadClass{class: x, report: classReport{Route: x.route, Priority: x.priority}, waits: hdrhistogram.New(1, maxMicros, 3)}
	}
	return list, nil
}

// pick draws the class of a request by the shares of the classes.
func (l *loadRun) pick(rng *rand.Rand) *loadClass {
	if len(l.classes) == 1 {
		return &l.classes[0]
	}
	sum := 0.0
	for i := range l.classes {
		sum += l.classes[i].share
	}
	at := rng.Float64() * sum
	for i := range l.classes {
		if at -= l.classes[i].share; at < 0 {
			return &l.classes[i]
		}
	}
	return &l.classes[len(l.classes)-1]
}

// targets reads the keys and returns them with the hosts of the nearest data centre.
func (c *LoadCmd) targets() (keys []string, hosts []netip.AddrPort, err error) {
	if c.Rate <= 0 {
		return nil, nil, withExitCode(ExitInput, fmt.Errorf("load: rate %v is not positive", c.Rate))
	}
	for _, path := range c.Key {
		key, err := readKey(path)
		if err != nil {
			return nil, nil, err
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		keys = []string{""}
	}
	list, err := fetchHosts(c.Host, keys[0])
	if err != nil {
		return nil, nil, err
	}
	for _, h := range list.Hosts {
		if h.Site == list.Hosts[0].Site { // the nearest data centre is listed first
			hosts = append(hosts, h.Addr)
		}
	}
	if len(hosts) == 0 {
		return nil, nil, withExitCode(ExitUnreachable, errors.New("load: the list of hosts for callers is empty"))
	}
	return keys, hosts, nil
}

// prompt returns the n-th prompt. It starts with one of Prefix common beginnings, or
// with a beginning of its own if Prefix is 0.
func (c *LoadCmd) prompt(rng *rand.Rand, n int) []byte {
	phrase := fmt.Sprintf("prompt %d ", n)
	if c.Prefix > 0 {
		phrase = fmt.Sprintf("guide %d ", rng.IntN(c.Prefix))
	}
	text := strings.Repeat(phrase, c.Bytes/len(phrase)+1)[:c.Bytes]
	return fmt.Appendf(nil, "%s question %d", text, n)
}

// send sends one request and records its result.
func (l *loadRun) send(client *http.Client, r *request, addr netip.AddrPort, k *loadClass) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	start := time.Now()
	l.update(func(rep *loadReport) {
		rep.Sent++
		k.report.Sent++
	})
	req, err := r.build(ctx, addr)
	if err != nil {
		l.update(func(rep *loadReport) { rep.Broken++ })
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		l.update(func(rep *loadReport) { rep.Broken++ })
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		l.countRejection(resp.Body, time.Since(start), k)
		return
	}
	l.readStream(resp.Body, start, k)
}

// countRejection counts a rejection, which came after a wait, under the reason in its body.
func (l *loadRun) countRejection(body io.Reader, wait time.Duration, k *loadClass) {
	var v struct {
		Error struct {
			Reason string `json:"reason"`
		} `json:"error"`
	}
	if json.NewDecoder(io.LimitReader(body, maxEventSize)).Decode(&v) != nil || v.Error.Reason == "" {
		l.update(func(rep *loadReport) { rep.Broken++ })
		return
	}
	l.update(func(rep *loadReport) {
		rep.Rejected[v.Error.Reason]++
		k.report.Refused++
		record(k.waits, wait)
	})
}

// readStream reads a chat stream and records the arrival times of its tokens.
func (l *loadRun) readStream(body io.Reader, start time.Time, k *loadClass) {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxEventSize)
	last, tokens, done := start, 0, false
	var first time.Duration
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		switch {
		case data == "[DONE]":
			done = true
		case strings.Contains(data, `"content":`):
			l.recordToken(now.Sub(last), tokens == 0)
			if tokens == 0 {
				first = now.Sub(start)
			}
			tokens, last = tokens+1, now
		}
	}
	l.update(func(rep *loadReport) {
		rep.Tokens += tokens
		if !done {
			rep.Broken++
			return
		}
		rep.Served++
		k.report.Served++
		if k.goal == 0 || first <= k.goal {
			k.report.InTime++
		} else {
			k.report.Late++
		}
	})
}

// recordToken records the time to the first token or between two tokens.
func (l *loadRun) recordToken(d time.Duration, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.between
	if first {
		h = l.first
	}
	record(h, d)
}

// record records a time in a histogram of microseconds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicros)) // always in range
}

// update calls f with the report under the lock.
func (l *loadRun) update(f func(*loadReport)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.report)
}

// print prints the report as text or JSON.
func (l *loadRun) print(e *env, asJSON bool) error {
	rep := l.report
	rep.First, rep.Between = quantilesOf(l.first), quantilesOf(l.between)
	for i := range l.classes {
		k := &l.classes[i]
		k.report.RefusedWait = quantilesOf(k.waits)
		rep.Classes = append(rep.Classes, k.report)
	}
	sortClasses(rep.Classes)
	if asJSON {
		return e.JSON(rep)
	}
	e.Printf("%d sent, %d served, %d broken off, %d tokens\n", rep.Sent, rep.Served, rep.Broken, rep.Tokens)
	for reason, n := range rep.Rejected {
		e.Printf("%d rejected: %s\n", n, reason)
	}
	e.Printf("first token: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", rep.First.P50, rep.First.P95, rep.First.P99)
	e.Printf("between tokens: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", rep.Between.P50, rep.Between.P95, rep.Between.P99)
	printClasses(e, rep.Classes)
	return nil
}

// quantilesOf returns the percentiles of h, which holds microseconds.
func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

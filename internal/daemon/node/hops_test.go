package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/setup"
	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/internal/fake/server"
	"github.com/yuccalb/yuccalb/internal/fake/shop"
)

// benchKey is the caller's key in benchmarks.
const benchKey = "yk_bench"

// benchFleet starts a node in each of two data centres. The engine is in the first one,
// "a".
func benchFleet(b *testing.B) (engine string, nodes []netip.AddrPort) {
	b.Helper()
	platform := local.Serve(b, infra.New(infra.Options{}))
	engine = local.Serve(b, server.NewEngine(server.EngineConfig{Model: "fake", Prefill: 1 << 30, Limit: 64}))
	cfg := &model.Config{
		Regions:  []model.Region{{Name: "r"}},
		Sites:    []model.Site{{Name: "a", Region: "r", Slots: 1}, {Name: "b", Region: "r", Slots: 1}},
		Services: []model.Service{{Name: "e", Kind: model.KindEngine, Model: "fake", Servers: []model.Server{{Addr: local.Host(engine), Site: "a"}}}},
		Routes:   []model.Route{{Name: "chat", Kind: model.KindChat, Service: "e", ReservedTokens: 16}},
		Orgs:     []model.Org{{Name: "o", Rate: 1 << 40, Burst: 1 << 40, Keys: []model.Key{{Hash: model.HashKey(benchKey)}}}},
	}
	shop.Publish(b, platform, cfg)
	var seed string
	for _, site := range []string{"a", "b"} {
		http, peer, admin := local.Addr(b), local.Addr(b), local.Addr(b)
		s, err := setup.Parse(fmt.Appendf(nil, "site: %s\nhttp: %s\npeer: %s\nadmin: %s\nplatform: %s\n%s", site, http, peer, admin, platform, seed))
		if err != nil {
			b.Fatal(err)
		}
		seed = fmt.Sprintf("peers: [%q]\n", peer)
		n, err := Start(b.Context(), Options{Settings: s, Log: zap.NewNop(), Grace: time.Millisecond})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() {
			if err := n.Close(context.Background()); err != nil {
				b.Log(err)
			}
		})
		nodes = append(nodes, http)
	}
	return engine, nodes
}

// chatOnce sends a chat of 16 tokens and returns the time to its first byte.
func chatOnce(base, id string) (time.Duration, error) {
	body := `{"model":"chat","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"a short question about film and adhesive"}]}`
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	req.Header.Set("X-Request-Id", id)
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	first := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		return 0, err
	}
	took := time.Since(start)
	rest, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || !bytes.HasSuffix(rest, []byte("[DONE]\n\n"))) {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, rest)
	}
	return took, err
}

// BenchmarkHops compares the time to the first byte of a direct request to an engine
// with that of requests through one host and through two. The three kinds alternate.
func BenchmarkHops(b *testing.B) {
	engine, nodes := benchFleet(b)
	bases := []string{engine, "http://" + nodes[0].String(), "http://" + nodes[1].String()}
	for _, base := range bases[1:] {
		await.For(b, waitTimeout, "the host serves", func() error {
			_, err := chatOnce(base, "w")
			return err
		})
	}
	var hist [3]*hdrhistogram.Histogram
	for i := range hist {
		hist[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	b.ResetTimer()
	for n := range b.N {
		for i, base := range bases {
			took, err := chatOnce(base, fmt.Sprintf("b%d-%d", n, i))
			if err = errors.Join(err, hist[i].RecordValue(took.Microseconds())); err != nil {
				b.Fatal(err)
			}
		}
	}
	for i, name := range []string{"direct", "one", "two"} {
		b.ReportMetric(float64(hist[i].ValueAtQuantile(50)), name+"-p50-µs")
		b.ReportMetric(float64(hist[i].ValueAtQuantile(99)), name+"-p99-µs")
	}
}

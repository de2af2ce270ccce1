// Package shop is the configuration that tests of daemons have in common: a
// model engine and a plain service, a route to each of their calls.
package shop

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/model"
)

// publishWait bounds the publishing of a configuration.
const publishWait = 60 * time.Second

// Services returns the services with their servers.
func Services(desks, engines []model.Server) []model.Service {
	return []model.Service{
		{Name: "desk", Kind: model.KindPlain, Servers: desks},
		{Name: "drafter", Kind: model.KindEngine, Model: "fake", Servers: engines},
	}
}

// Routes returns the routes with the deadlines of plain calls and of chats.
func Routes(plain, chat time.Duration) []model.Route {
	return []model.Route{
		{Name: "booking", Service: "desk", Kind: model.KindPlain, Method: http.MethodPost, Path: "/bookings", Once: true, Deadline: plain},
		{Name: "drafter", Service: "drafter", Kind: model.KindChat, Answer: 64, Deadline: chat},
		{Name: "stock", Service: "desk", Kind: model.KindPlain, Method: http.MethodGet, Path: "/stock", Deadline: plain},
	}
}

// Org returns an organisation without a limit that a test could reach.
func Org(name, key string) model.Org {
	return model.Org{Name: name, Rate: 1_000_000, Burst: 10_000_000, Keys: []model.Key{{Hash: model.HashKey(key)}}}
}

// Publish puts a configuration in force and returns its version.
func Publish(t testing.TB, url string, cfg *model.Config) uint64 {
	t.Helper()
	kv := store.New(url, nil)
	defer kv.Close()
	ctx, cancel := context.WithTimeout(t.Context(), publishWait)
	defer cancel()
	for {
		pub, err := store.Publish(ctx, kv, cfg, fmt.Sprint(time.Now().UnixNano()), 0)
		var lost *store.LostError
		if errors.As(err, &lost) { // there is no other operator: the store answered with old data
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		return pub.Version
	}
}

// Package shop provides the configuration that tests of daemons share: a model engine and
// a plain service, with a route for each of their calls.
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

// publishTimeout bounds the publishing of a configuration.
const publishTimeout = 60 * time.Second

// Services returns the plain service desk and the model engine drafter with their servers.
func Services(desks, engines []model.Server) []model.Service {
	return []model.Service{
		{Name: "desk", Kind: model.KindPlain, Servers: desks},
		{Name: "drafter", Kind: model.KindEngine, Model: "fake", Servers: engines},
	}
}

// Routes returns the routes, with the deadlines for plain calls and for chats.
func Routes(plain, chat time.Duration) []model.Route {
	return []model.Route{
		{Name: "booking", Service: "desk", Kind: model.KindPlain, Method: http.MethodPost, Path: "/bookings", Once: true, Deadline: plain},
		{Name: "drafter", Service: "drafter", Kind: model.KindChat, ReservedTokens: 64, Deadline: chat},
		{Name: "stock", Service: "desk", Kind: model.KindPlain, Method: http.MethodGet, Path: "/stock", Deadline: plain},
	}
}

// Org returns an organisation whose rate limit is too high for a test to reach.
func Org(name, key string) model.Org {
	return model.Org{Name: name, Rate: 1_000_000, Burst: 10_000_000, Keys: []model.Key{{Hash: model.HashKey(key)}}}
}

// Publish publishes a configuration in the store and returns its version.
func Publish(t testing.TB, url string, cfg *model.Config) uint64 {
	t.Helper()
	kv := store.New(url, nil)
	defer kv.Close()
	ctx, cancel := context.WithTimeout(t.Context(), publishTimeout)
	defer cancel()
	for {
		pub, err := store.Publish(ctx, kv, cfg, fmt.Sprint(time.Now().UnixNano()), 0)
		var lost *store.PublishConflictError
		if errors.As(err, &lost) { // tests have no other operator, so that a conflict means a stale read
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		return pub.Version
	}
}

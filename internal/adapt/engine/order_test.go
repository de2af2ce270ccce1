package engine_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/core/fence"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/server"
)

// TestOrderAfterPause guards against sending an order whose connection opened after
// the sender's lease had expired. On an engine that ignores fencing tokens such an
// order would run at the same time as one of the next lease holder.
func TestOrderAfterPause(t *testing.T) {
	const ttl, length = 10 * time.Second, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		n := server.NewNetwork()
		e := server.NewEngine(server.EngineConfig{OrderTime: length})
		n.Serve(addr, e)
		// send sends an order on a connection that takes delay to open.
		send := func(h *fence.Holder, delay time.Duration) error {
			c := engine.New(engine.Options{Dial: func(ctx context.Context, network, to string) (net.Conn, error) {
				time.Sleep(delay)
				return n.Dial(ctx, network, to)
			}})
			defer c.Close()
			o := fence.Order{Server: addr}
			d := h.Plan(o, time.Now())
			if d.Verdict == fence.Wait {
				time.Sleep(time.Until(d.At))
				d = h.Plan(o, time.Now())
			}
			return c.Order(t.Context(), addr, engine.Order{Order: "role", Token: d.Token}, time.Hour, func() error {
				if now := h.Send(o, time.Now()); now.Verdict != fence.Send || now.Token != d.Token {
					return errors.New("order is no longer allowed")
				}
				return nil
			})
		}
		acquire := func(token uint64) *fence.Holder {
			h := fence.NewHolder(length, nil)
			h.Acquired(token, time.Now(), time.Now(), ttl)
			return h
		}
		first := acquire(1)
		if err := send(first, 0); err != nil {
			t.Error(err)
		}
		late := make(chan error)
		go func() { late <- send(first, 11*time.Second) }()
		time.Sleep(ttl)
		if err := send(acquire(2), 0); err != nil {
			t.Error(err)
		}
		if err := engine.AsError(<-late); err == nil || err.Run() != model.RunNo {
			t.Errorf("error %v, want one that reports not run", err)
		}
		if all := e.Orders(); len(all) != 2 || server.Overlaps(all) != 0 {
			t.Errorf("orders %+v, want one of each lease holder without overlap", all)
		}
		e.Close()
		n.Close()
	})
}

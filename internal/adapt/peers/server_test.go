package peers

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/pipes"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Guards against a call of a method without handler that fails with another error
// than "unimplemented" or closes the connection.
func TestUnimplemented(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c, _ := start(t, Handler{}, Options{})
		ctx := t.Context()
		_, errBeat := c.Beat(ctx, fakeAddr, &peerpb.BeatRequest{})
		_, errPull := c.Pull(ctx, fakeAddr, &peerpb.PullRequest{})
		_, errGrant := c.Grant(ctx, fakeAddr, &peerpb.GrantRequest{})
		_, errSettle := c.Settle(ctx, fakeAddr, &peerpb.SettleRequest{})
		s, err := c.Forward(ctx, fakeAddr)
		if err != nil {
			t.Fatal(err)
		}
		_, errForward := s.Recv()
		s.Close()
		for i, err := range []error{errBeat, errPull, errGrant, errSettle, errForward} {
			if !Unimplemented(err) {
				t.Errorf("method %d: %v, want unimplemented", i, err)
			}
		}
		if n := f.Dials.Load(); n != 1 {
			t.Errorf("%d dials, want 1", n)
		}
	})
}

// Guards against a Close that interrupts a call before the deadline, and one that
// waits for calls beyond it.
func TestCloseWaits(t *testing.T) {
	for _, tc := range []struct {
		name   string
		limit  time.Duration
		wantOK bool
	}{{"within the deadline", time.Second, true}, {"after the deadline", 20 * time.Millisecond, false}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c, srv := start(t, Handler{Beat: slowBeat}, Options{})
				done := make(chan error, 1)
				go func() {
					_, err := c.Beat(context.Background(), fakeAddr, &peerpb.BeatRequest{})
					done <- err
				}()
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), tc.limit)
				defer cancel()
				closed := srv.Close(ctx)
				called := <-done
				if (closed == nil) != tc.wantOK || (called == nil) != tc.wantOK {
					t.Errorf("Close: %v, call: %v; want both without error: %v", closed, called, tc.wantOK)
				}
			})
		})
	}
}

// Guards against accepting more connections than ServerOptions.MaxConns.
func TestIncomingBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := pipes.New()
		srv, err := Serve(f, Handler{Beat: slowBeat}, ServerOptions{MaxConns: 2})
		if err != nil {
			t.Fatal(err)
		}
		c := NewClient(Options{Dialer: f.Dial})
		results := make(chan error, 5)
		for range 5 {
			go func() {
				_, err := c.Beat(context.Background(), fakeAddr, &peerpb.BeatRequest{})
				results <- err
			}()
		}
		ok := 0
		for range 5 {
			if err := <-results; err == nil {
				ok++
			}
		}
		if ok != 2 {
			t.Errorf("%d calls succeeded, want 2", ok)
		}
		c.Close()
		if err := srv.Close(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// credentials returns the credentials of a host whose certificate is signed by ca
// and that accepts certificates of the CA trusted.
func credentials(t testing.TB, ca, trusted *CA, ip string) *Credentials {
	t.Helper()
	cert, key, err := ca.IssueHost("host", []netip.Addr{netip.MustParseAddr(ip)}, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	root, _, err := trusted.PEM()
	if err != nil {
		t.Fatal(err)
	}
	creds, err := NewCredentials(cert, key, root)
	if err != nil {
		t.Fatal(err)
	}
	return creds
}

func newTestCA(t testing.TB) *CA {
	t.Helper()
	ca, err := NewCA("fleet", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := ca.PEM()
	if err != nil {
		t.Fatal(err)
	}
	if ca, err = ParseCA(cert, key); err != nil {
		t.Fatal(err)
	}
	return ca
}

// Guards against connections to or from a host without a certificate of the
// fleet's CA for its address.
func TestTLS(t *testing.T) {
	ours, other := newTestCA(t), newTestCA(t)
	for _, tc := range []struct {
		name           string
		server, client *Credentials
		ok             bool
	}{
		{"same fleet", credentials(t, ours, ours, "127.0.0.1"), credentials(t, ours, ours, "127.0.0.2"), true},
		{"client of another CA", credentials(t, ours, ours, "127.0.0.1"), credentials(t, other, ours, "127.0.0.1"), false},
		{"server of another CA", credentials(t, other, ours, "127.0.0.1"), credentials(t, ours, ours, "127.0.0.1"), false},
		{"client without TLS", credentials(t, ours, ours, "127.0.0.1"), nil, false},
		{"server without TLS", nil, credentials(t, ours, ours, "127.0.0.1"), false},
		{"server certificate for another address", credentials(t, ours, ours, "127.0.0.9"), credentials(t, ours, ours, "127.0.0.1"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			served := false
			h := Handler{Beat: beatFunc(func(context.Context, *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
				served = true
				return &peerpb.BeatReply{}, nil
			})}
			srv, err := Listen(loopback, h, ServerOptions{TLS: tc.server})
			if err != nil {
				t.Fatal(err)
			}
			c := NewClient(Options{TLS: tc.client})
			_, err = c.Beat(t.Context(), srv.Addr(), &peerpb.BeatRequest{})
			if (err == nil) != tc.ok {
				t.Errorf("Beat: %v, want success %v", err, tc.ok)
			}
			c.Close()
			if err := srv.Close(context.Background()); err != nil && !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
			if served != tc.ok {
				t.Errorf("handler ran: %v, want %v", served, tc.ok)
			}
		})
	}
}

func BenchmarkBeat(b *testing.B) {
	ca := newTestCA(b)
	creds := credentials(b, ca, ca, "127.0.0.1")
	for _, bc := range []struct {
		name string
		tls  *Credentials
	}{{"plain", nil}, {"tls", creds}} {
		b.Run(bc.name, func(b *testing.B) {
			srv, err := Listen(loopback, Handler{Beat: echoBeat}, ServerOptions{TLS: bc.tls})
			if err != nil {
				b.Fatal(err)
			}
			defer srv.Close(context.Background())
			c := NewClient(Options{TLS: bc.tls})
			defer c.Close()
			req := &peerpb.BeatRequest{From: &peerpb.Ident{Addr: "10.0.0.1:7000", Site: "quimper-a", Incarnation: 1}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Beat(context.Background(), srv.Addr(), req); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

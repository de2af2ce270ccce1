package infra

import (
	"net/http"
	"net/http/httptest"
)

// Transport returns a RoundTripper that calls the platform within the same process,
// without a network. It works in the synctest bubble in which the platform was created.
func (p *Platform) Transport() http.RoundTripper { return transport{p} }

// transport is the RoundTripper of a Platform.
type transport struct{ p *Platform }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			resp, err = nil, errAborted
			if r.Context().Err() != nil {
				err = r.Context().Err()
			}
		default:
			panic(v)
		}
	}()
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	w := httptest.NewRecorder()
	t.p.ServeHTTP(w, r.Clone(r.Context()))
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	resp = w.Result()
	resp.Request = r
	return resp, nil
}

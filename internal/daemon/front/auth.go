package front

import (
	"net/http"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// maxAuthorization bounds the length of an Authorization header, in bytes.
const maxAuthorization = 256

// identity is the authenticated caller of a request. Its zero value is a caller without a
// key, who may use open routes and list the hosts only.
type identity struct {
	org    *model.Org
	key    model.KeyHash
	hasKey bool
	rawKey string // the key itself, which must not leave this package
}

// authenticate determines the caller from the Authorization header alone. A request
// without a key has the zero identity. An unknown or revoked key is rejected on open
// routes too, so that the caller notices it.
func (f *Front) authenticate(r *http.Request, snap *model.Snapshot) (identity, *model.Rejection) {
	if snap.Version == 0 {
		return identity{}, model.Reject(model.ReasonStale, "the host has no configuration yet").WithRetryAfter(time.Second)
	}
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return identity{}, nil
	}
	text, ok := bearer(values)
	if !ok {
		return identity{}, model.Reject(model.ReasonKeyUnknown, "the Authorization header must hold one bearer key")
	}
	hash := model.HashKey(text)
	org := snap.KeyOrg(hash)
	if org == nil {
		return identity{}, model.Reject(model.ReasonKeyUnknown, "the key is unknown or was revoked")
	}
	if org.MaxConfigAge > 0 && f.cfg.ConfirmedAge() > org.MaxConfigAge {
		return identity{}, model.Reject(model.ReasonStale, "the configuration was not confirmed within %s", org.MaxConfigAge).WithRetryAfter(org.MaxConfigAge)
	}
	return identity{org: org, key: hash, hasKey: true, rawKey: text}, nil
}

// bearer returns the key from the values of the Authorization header.
func bearer(values []string) (string, bool) {
	if len(values) != 1 || len(values[0]) > maxAuthorization {
		return "", false
	}
	scheme, text, ok := strings.Cut(values[0], " ")
	text = strings.TrimSpace(text)
	return text, ok && strings.EqualFold(scheme, "Bearer") && text != ""
}

// authorize checks that the caller may use the route, and returns the regions in which
// the request may be served.
func authorize(snap *model.Snapshot, caller identity, route *model.Route) ([]string, *model.Rejection) {
	if !route.Open && caller.org == nil {
		return nil, model.Reject(model.ReasonKeyMissing, "route %q needs a key", route.Name)
	}
	if !snap.Permits(caller.org, route) {
		return nil, model.Reject(model.ReasonRouteDenied, "organisation %q may not use route %q", caller.org.Name, route.Name)
	}
	regions := snap.AllowedRegions(caller.org, route)
	if len(regions) == 0 {
		return nil, model.Reject(model.ReasonRegionDenied, "no region is allowed for both the organisation and route %q", route.Name)
	}
	return regions, nil
}

package front

import (
	"net/http"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// maxKey bounds the text of a key, in bytes.
const maxKey = 256

// caller is who sent a request: an organisation, or nobody on open routes.
type caller struct {
	org    *model.Org
	key    model.KeyHash
	hasKey bool
	text   string // the key itself, which never leaves this package
}

// authenticate derives the caller from the Authorization header alone. A
// request without a key is a caller without an organisation; a key that is
// not in force is rejected also on open routes, so that a caller learns of it.
func (f *Front) authenticate(r *http.Request, snap *model.Snapshot) (caller, *model.Rejection) {
	if snap.Version == 0 {
		return caller{}, model.Reject(model.ReasonStale, "the host has no configuration yet").After(time.Second)
	}
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return caller{}, nil
	}
	text, ok := bearer(values)
	if !ok {
		return caller{}, model.Reject(model.ReasonKeyUnknown, "the Authorization header must hold one bearer key")
	}
	hash := model.HashKey(text)
	org := snap.KeyOrg(hash)
	if org == nil {
		return caller{}, model.Reject(model.ReasonKeyUnknown, "the key is unknown or was revoked")
	}
	if org.Fresh > 0 && f.cfg.Confirmed() > org.Fresh {
		return caller{}, model.Reject(model.ReasonStale, "the configuration was not confirmed within %s", org.Fresh).After(org.Fresh)
	}
	return caller{org: org, key: hash, hasKey: true, text: text}, nil
}

// bearer returns the key of an Authorization header.
func bearer(values []string) (string, bool) {
	if len(values) != 1 || len(values[0]) > maxKey {
		return "", false
	}
	scheme, text, ok := strings.Cut(values[0], " ")
	text = strings.TrimSpace(text)
	return text, ok && strings.EqualFold(scheme, "Bearer") && text != ""
}

// admit checks that the caller may use the route and returns the regions where
// the request may be served.
func admit(snap *model.Snapshot, who caller, route *model.Route) ([]string, *model.Rejection) {
	if !route.Open && who.org == nil {
		return nil, model.Reject(model.ReasonKeyMissing, "route %q needs a key", route.Name)
	}
	if !snap.May(who.org, route) {
		return nil, model.Reject(model.ReasonRouteDenied, "organisation %q may not use route %q", who.org.Name, route.Name)
	}
	regions := snap.Allowed(who.org, route)
	if len(regions) == 0 {
		return nil, model.Reject(model.ReasonRegionDenied, "no region is allowed for both the organisation and route %q", route.Name)
	}
	return regions, nil
}

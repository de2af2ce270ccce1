package entry

import (
	"net/http"
	"testing"

	"github.com/yuccalb/yuccalb/platform"
)

// TestTokenCountsOutOfRange guards against requests whose token counts overflow, which filled the bucket of their
// organisation, so that its other requests exceeded the limit, and whose totals made hosts ignore each other.
func TestTokenCountsOutOfRange(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", ok)
	wantStatus(t, cl.do(e, get("/safe/x").With(platform.HeaderTokens, "800,100")), http.StatusOK)
	before := e.fleet.Limiter().Admitted()[orgName]
	for _, counts := range []string{
		"9223372036854775807,1", "1,9223372036854775807", "9223372036854775807,9223372036854775807",
		"99999999999999999999,1", " 1 , 99999999999999999999", "67108865,0",
	} {
		resp := cl.do(e, get("/safe/x").With(platform.HeaderTokens, counts))
		if resp.Status != http.StatusBadRequest {
			t.Errorf("%s: status %d, want 400", counts, resp.Status)
		}
	}
	if after := e.fleet.Limiter().Admitted()[orgName]; after != before {
		t.Errorf("%v tokens admitted, want %v as before", after, before)
	}
	wantStatus(t, cl.do(e, get("/safe/x").With(platform.HeaderTokens, "800,100")), http.StatusOK)
}

package cmds_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccalb/yuccalb/internal/cli/cmds"
)

// TestLoadClasses guards against results that are counted for another class, or not at all: of
// three routes, one serves at once, one refuses and one sends half of a stream.
func TestLoadClasses(t *testing.T) {
	var host *httptest.Server
	host = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/hosts" {
			fmt.Fprintf(w, `{"hosts":[{"addr":%q,"site":"a"}]}`, strings.TrimPrefix(host.URL, "http://"))
			return
		}
		body, _ := io.ReadAll(r.Body)
		event := "data: {\"choices\":[{\"delta\":{\"content\":\"oak \"}}]}\n\n"
		switch {
		case bytes.Contains(body, []byte(`"ask"`)):
			fmt.Fprint(w, event, "data: [DONE]\n\n")
		case bytes.Contains(body, []byte(`"chat"`)):
			fmt.Fprint(w, event)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"error":{"reason":"overloaded"}}`)
		}
	}))
	defer host.Close()
	var out, errs bytes.Buffer
	args := []string{
		"load", "ask", "--host", strings.TrimPrefix(host.URL, "http://"), "--rate", "400", "--for", "500ms", "--json",
		"--class", "quote=2", "--class", "ask=0,1m,3", "--class", "chat=1,1ns,0.5",
	}
	if code := cmds.Run(args, &out, &errs); code != cmds.ExitOK {
		t.Fatalf("exit code %d: %s", code, &errs)
	}
	var got struct {
		Sent, Served, Broken int
		Classes              []classReport `json:"classes"`
	}
	if err := json.Unmarshal(out.Bytes(), &got); err != nil || len(got.Classes) != 3 {
		t.Fatalf("report %s, error %v, want three classes", &out, err)
	}
	ask, chat, quote := got.Classes[0], got.Classes[1], got.Classes[2]
	if ask.Route != "ask" || chat.Route != "chat" || quote.Route != "quote" {
		t.Errorf("classes %s, %s, %s are not in the order of their priorities", ask.Route, chat.Route, quote.Route)
	}
	if ask.Sent == 0 || ask.Served != ask.Sent || ask.InTime != ask.Sent || ask.Refused != 0 {
		t.Errorf("%+v: not all requests are in time", ask)
	}
	if chat.Served != 0 || got.Broken != chat.Sent {
		t.Errorf("%+v, %d broken off: half a stream counts as served", chat, got.Broken)
	}
	if quote.Sent == 0 || quote.Refused != quote.Sent || quote.Wait.P99 <= 0 {
		t.Errorf("%+v: not all requests are refused after a wait", quote)
	}
	if sum := ask.Sent + chat.Sent + quote.Sent; sum != got.Sent {
		t.Errorf("%d requests in the classes, %d sent", sum, got.Sent)
	}
}

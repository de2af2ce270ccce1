package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/yuccalb/yuccalb/internal/daemon/admin"
)

// maxResponse is the maximum size of a host's response, in bytes.
const maxResponse = 16 << 20

// adminTimeout bounds one short request to a host, such as one to its admin address.
const adminTimeout = 5 * time.Second

// adminCall sends a request to a host's admin address and decodes the response into v.
func adminCall(method string, addr netip.AddrPort, path string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	return doJSON(ctx, method, "http://"+addr.String()+path, "", nil, v)
}

// doJSON sends a request with an optional body and decodes the JSON response into v.
func doJSON(ctx context.Context, method, url, key string, body io.Reader, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return withExitCode(ExitInput, fmt.Errorf("create request: %w", err))
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return withExitCode(ExitUnreachable, fmt.Errorf("send request to host: %w", err))
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return withExitCode(ExitUnreachable, fmt.Errorf("read response: %w", err))
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, strings.TrimSpace(string(data)))
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode response of %s: %w", url, err)
	}
	return nil
}

// StatusCmd shows a host's status.
type StatusCmd struct {
	Admin netip.AddrPort `help:"Admin address of a host." default:"127.0.0.1:8002"`
	JSON  bool           `help:"Print JSON."`
}

// Run executes the command.
func (c *StatusCmd) Run(e *env) error {
	var s admin.Status
	if err := adminCall(http.MethodGet, c.Admin, "/status", &s); err != nil {
		return err
	}
	if c.JSON {
		return e.JSON(s)
	}
	e.Printf("host %s in %s (%s): %s, version %d (%.12s), confirmed %s ago, slot %d, %d requests running, up %s\n",
		s.Host, s.Site, s.Region, s.State, s.Version, s.Digest, s.Confirmed, s.Slot, s.Running, s.Uptime)
	t := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nHOST\tSTATE\tVERSION\tHEARD")
	for _, p := range s.Peers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", p.Host, p.State, p.Version, p.Received)
	}
	fmt.Fprintln(t, "\nDATA CENTRE\tREGION\tSTATE\tVERSION\tHOSTS\tHEARD")
	for _, p := range s.Sites {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", p.Name, p.Region, p.State, p.Version, p.Hosts, p.Received)
	}
	fmt.Fprintln(t, "\nSERVER\tSERVICE\tSTATE\tQUEUED\tRUNNING\tLIMIT")
	for _, p := range s.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\n", p.Addr, p.Service, p.State, p.Queued, p.Running, p.Limit)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print status: %w", err)
	}
	if len(s.Limited) > 0 {
		e.Printf("\nat their limit: %s\n", strings.Join(s.Limited, ", "))
	}
	return nil
}

// DrainCmd starts the graceful shutdown of a host.
type DrainCmd struct {
	Host netip.AddrPort `arg:"" help:"Admin address of the host."`
	Wait time.Duration  `help:"Wait this long for the host to exit; 0 returns at once." default:"0s"`
}

// drainPoll is the interval at which drain checks whether the host has exited.
const drainPoll = 200 * time.Millisecond

// Run executes the command. A host whose admin address fails to answer counts as
// exited.
func (c *DrainCmd) Run(e *env) error {
	var s admin.Status
	if err := adminCall(http.MethodPost, c.Host, "/drain", &s); err != nil {
		return err
	}
	e.Printf("host %s: %s, %d requests running\n", s.Host, s.State, s.Running)
	for end := time.Now().Add(c.Wait); time.Now().Before(end); time.Sleep(drainPoll) {
		if err := adminCall(http.MethodGet, c.Host, "/status", &s); err != nil {
			e.Printf("host %s has exited\n", s.Host)
			return nil
		}
	}
	if c.Wait > 0 {
		return fmt.Errorf("host %s still has %d requests in progress after %s", s.Host, s.Running, c.Wait)
	}
	return nil
}

package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/daemon/front"
)

// HostsCmd prints the hosts that callers should use.
type HostsCmd struct {
	Host netip.AddrPort `help:"Address for callers of any host." default:"127.0.0.1:8000"`
	Key  string         `help:"File that holds a key; without it only open routes count." type:"existingfile"`
	JSON bool           `help:"Print JSON."`
}

// hostList is the response to GET /v1/hosts.
type hostList struct {
	Hosts []front.Host `json:"hosts"`
	TTL   string       `json:"ttl"`
}

// Run executes the command.
func (c *HostsCmd) Run(e *env) error {
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	list, err := fetchHosts(c.Host, key)
	if err != nil {
		return err
	}
	if c.JSON {
		return e.JSON(list)
	}
	for _, h := range list.Hosts {
		e.Printf("%s\t%s\t%s\n", h.Addr, h.Site, h.Region)
	}
	return nil
}

// fetchHosts returns the hosts that callers should use, as reported by the host at addr.
func fetchHosts(addr netip.AddrPort, key string) (hostList, error) {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	var list hostList
	err := doJSON(ctx, http.MethodGet, "http://"+addr.String()+"/v1/hosts", key, nil, &list)
	return list, err
}

// readKey reads a key from a file, or returns an empty key if path is empty. Keys
// are never given as arguments, which other users of the machine can read.
func readKey(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", withExitCode(ExitInput, fmt.Errorf("read key: %w", err))
	}
	return strings.TrimSpace(string(text)), nil
}

// SendCmd sends one request as a caller.
type SendCmd struct {
	Route  string         `arg:"" help:"Route to use."`
	Host   netip.AddrPort `help:"Address for callers of any host." default:"127.0.0.1:8000"`
	Key    string         `help:"File that holds a key." type:"existingfile"`
	File   string         `help:"File with the prompt of a chat or the body of a plain call; - is standard input." default:"-"`
	Plain  bool           `help:"Call a plain service."`
	Method string         `help:"Method of a plain call." default:"POST"`
	Once   string         `help:"Idempotency key, or 'ticket' to take a ticket first."`
	Tokens int            `help:"Largest number of tokens of the answer; 0 leaves it to the route." default:"0"`
	Wait   time.Duration  `help:"Time until the response must be complete." default:"60s"`
}

// Run executes the command.
func (c *SendCmd) Run(e *env) error {
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	text, err := readInput(c.File)
	if err != nil {
		return err
	}
	list, err := fetchHosts(c.Host, key)
	if err != nil {
		return err
	}
	addr := c.Host
	if len(list.Hosts) > 0 {
		addr = list.Hosts[0].Addr
	}
	r := request{route: c.Route, key: key, plain: c.Plain, method: c.Method, idempotencyKey: c.Once, tokens: c.Tokens, timeout: c.Wait, input: text}
	if r.idempotencyKey == "ticket" {
		if r.idempotencyKey, err = requestTicket(addr, key); err != nil {
			return err
		}
	}
	trail, err := r.send(addr, e.out)
	for _, step := range trail {
		fmt.Fprintln(e.err, "via", step)
	}
	return err
}

// readInput reads a file or, for "-", standard input.
func readInput(path string) ([]byte, error) {
	if path == "-" {
		text, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, withExitCode(ExitInput, fmt.Errorf("read standard input: %w", err))
		}
		return text, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, withExitCode(ExitInput, fmt.Errorf("read file: %w", err))
	}
	return text, nil
}

// requestTicket requests a ticket, an idempotency key that a host issues.
func requestTicket(addr netip.AddrPort, key string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	var t struct {
		Ticket string `json:"ticket"`
	}
	err := doJSON(ctx, http.MethodPost, "http://"+addr.String()+"/v1/tickets", key, nil, &t)
	return t.Ticket, err
}

// request is one request of a caller. The input is the prompt of a chat or the body
// of a plain call.
type request struct {
	route, key, method, idempotencyKey string
	plain                              bool
	tokens                             int
	timeout                            time.Duration
	input                              []byte
}

// message is one message of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a chat request.
type chatBody struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Tokens   int       `json:"max_tokens,omitempty"`
	Messages []message `json:"messages"`
}

// build returns the HTTP request for the host at addr.
func (r *request) build(ctx context.Context, addr netip.AddrPort) (*http.Request, error) {
	method, path, body := r.method, "/v1/call/"+r.route, r.input
	if !r.plain {
		method, path = http.MethodPost, "/v1/chat/completions"
		var err error
		body, err = json.Marshal(chatBody{
			Model: r.route, Stream: true, Tokens: r.tokens,
			Messages: []message{{Role: "user", Content: string(r.input)}},
		})
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, withExitCode(ExitInput, fmt.Errorf("create request: %w", err))
	}
	req.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	if r.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	return req, nil
}

// send sends the request, writes the response to out as it arrives and returns the
// hosts and servers that the request passed through.
func (r *request) send(addr netip.AddrPort, out io.Writer) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	req, err := r.build(ctx, addr)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, withExitCode(ExitUnreachable, fmt.Errorf("send to %s: %w", addr, err))
	}
	defer resp.Body.Close()
	trail := resp.Header.Values("X-Trail")
	if resp.StatusCode >= 300 {
		return trail, newRejection(resp)
	}
	if r.plain {
		_, err = io.Copy(out, resp.Body)
	} else {
		err = printEvents(resp.Body, out)
	}
	fmt.Fprintln(out)
	if err != nil {
		return trail, fmt.Errorf("incomplete response: %w", err)
	}
	return trail, nil
}

// sendWithRetry is like send, but until end it retries a rejected request after the
// time in the Retry-After header if X-Run says that the request has not run.
func (r *request) sendWithRetry(addr netip.AddrPort, out io.Writer, end time.Time) ([]string, error) {
	for {
		trail, err := r.send(addr, out)
		var rej *rejection
		if !errors.As(err, &rej) || rej.run != "no" || rej.retryAfter == 0 || time.Now().Add(rej.retryAfter).After(end) {
			return trail, err
		}
		time.Sleep(rej.retryAfter)
	}
}

// rejection is the error for a response with a status of 300 or more.
type rejection struct {
	status, message, run string
	retryAfter           time.Duration
}

// newRejection reads the body of an error response and returns a *rejection.
func newRejection(resp *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return fmt.Errorf("%s: %w", resp.Status, err)
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // absent if a retry cannot succeed
	return &rejection{
		status: resp.Status, message: strings.TrimSpace(string(text)),
		run: resp.Header.Get("X-Run"), retryAfter: time.Duration(seconds) * time.Second,
	}
}

// Error returns the status and body of the response.
func (r *rejection) Error() string {
	return r.status + ": " + r.message
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller has got.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// err is why the answer ended early, nil if it looks complete.
	err error
}

// String returns the answer as the record shows it.
func (a answer) String() string {
	end := "looks complete"
	if a.err != nil {
		end = "cut: " + a.err.Error()
	}
	return fmt.Sprintf("%s status %d, seal %q, %d bytes, %s", a.id, a.status, a.header.Get("X-Server-Seal"), len(a.body), end)
}

// call sends a request on a new connection and reads its answer.
func call(addr, method, path, id string, deadline time.Duration, lines ...string) answer {
	a := answer{id: id, header: http.Header{}}
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }() // all was read
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, hostName, id, deadline.Milliseconds())
	for _, l := range lines {
		head += l + "\r\n"
	}
	if method == http.MethodPost {
		head += "Content-Length: 2\r\n\r\nok"
	} else {
		head += "\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	return a
}

// lastEvent returns the number of the last event in a body, and the number that the stream has.
func lastEvent(body string) (last, total int) {
	for line := range strings.Lines(body) {
		_, _ = fmt.Sscanf(line, "data: part %d of %d", &last, &total) // other lines don't match
	}
	return last, total
}

// errFailed means that a case could not run.
var errFailed = errors.New("the case could not run")

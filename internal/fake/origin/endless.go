package origin

import (
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/platform"
)

// EndlessForms are the forms of responses without an end.
var EndlessForms = []string{"head", "fields", "event", "answer", "spaces", "interim", "trailers", "size", "length"}

// SendEndless sends a response of one of EndlessForms until the gateway closes the
// connection, with a pause after each kilobyte or less.
func (x *Exchange) SendEndless(form string, pause time.Duration) {
	kilobyte := strings.Repeat("x", 1<<10)
	head := "HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": " + x.ID() + "\r\n" + platform.HeaderSignature + ": s\r\n"
	events := head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	first, next := "", kilobyte
	switch form {
	case "head":
		first, next = head, "A: "+kilobyte+"\r\n"
	case "fields":
		first, next = head, strings.Repeat("a:\r\n", 1<<8)
	case "event":
		first, next = events, "400\r\n"+kilobyte+"\r\n"
	case "spaces":
		next = strings.Repeat(" ", 1<<10)
	case "interim":
		next = "HTTP/1.1 103 Early Hints\r\nA: " + kilobyte + "\r\n\r\n"
	case "trailers":
		first, next = events+"0\r\n", "A: "+kilobyte+"\r\n"
	case "size":
		first, next = events, strings.Repeat("0", 1<<10)
	case "length":
		first = head + "Content-Length: 9000000000000000000\r\n\r\n"
	}
	for sent := x.Send(first); sent; {
		sent = x.Send(next)
		time.Sleep(pause)
	}
}

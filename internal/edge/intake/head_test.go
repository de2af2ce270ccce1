package intake

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzHead guards against a head whose end, bytes or lines depend on how they are cut into
// reads, or that ends before net/http has read the whole: what follows would not be charged.
func FuzzHead(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\nrest", "\r\n\n\r\nGET / HTTP/1.1\nA: b\n\nx\n", "GET / HTTP/1.1\r\n\r\r\n\r\n", "\r\r\n\n", "a\n \r\n\r\n",
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 100) + "\r\n",
	} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		var whole head
		n := whole.add(b)
		if lines := bytes.Count(b[:n], []byte{'\n'}); whole.size != n || whole.lines != lines {
			t.Errorf("%d bytes and %d lines, want %d and %d", whole.size, whole.lines, n, lines)
		}
		cut = min(max(cut, 0), len(b))
		var parts head
		m := parts.add(b[:cut])
		if m == cut && n > cut {
			m += parts.add(b[cut:])
		}
		if m != n || parts.size != whole.size || parts.lines != whole.lines {
			t.Errorf("%d bytes in parts %+v, %d as a whole %+v", m, parts, n, whole)
		}
		rest := bytes.NewReader(b)
		br := bufio.NewReader(rest)
		if _, err := http.ReadRequest(br); err == nil {
			if read := len(b) - rest.Len() - br.Buffered(); read > n {
				t.Errorf("net/http reads %d bytes as the head, %d are charged", read, n)
			}
		}
	})
}

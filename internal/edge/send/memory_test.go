package send

import (
	"context"
	"net/http"
	"runtime"
	"testing"
)

// TestUploadNotCopied guards against an upload that takes twice its memory while its server reads it.
func TestUploadNotCopied(t *testing.T) {
	const uploads, size = 8, 3500 << 10
	client, body := NewClient(DefaultDial), make([]byte, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range uploads {
		req, _ := answerOnce(t, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 0\r\n\r\n", whole)
		req.Method, req.Body = http.MethodPost, body
		resp, err := client.Do(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Close()
	}
	runtime.ReadMemStats(&after)
	if n := (after.TotalAlloc - before.TotalAlloc) / uploads; n > size/4 {
		t.Errorf("%d bytes allocated for an upload of %d", n, size)
	}
}

package gateway_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a part of an answer that reaches a caller as a whole one: the server answers a long upload at once,
// without a length, and resets the connection while the upload is written.
func TestAnswerThatIsResetDuringItsUploadReachesNoCaller(t *testing.T) {
	const uploads = 8
	for name, c := range map[string]struct{ service, path, head, part string }{
		"call":                         {"desk", "/hold/1", "HTTP/1.1 200 OK\r\n", "a part"},
		"call, HTTP/1.0":               {"desk", "/hold/1", "HTTP/1.0 200 OK\r\n", "a part"},
		"call, part beyond the buffer": {"desk", "/hold/1", "HTTP/1.1 200 OK\r\n", strings.Repeat("a part", 100<<10)},
		"stream":                       {"advice", "/once/1", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", event(1)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			layers := 0
			if c.service == "advice" {
				layers = 4
			}
			f.serve("resetting", c.service, 0, layers, func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, c.head+"Balsamlb-Request-Id: req-1\r\nBalsamlb-Response-Stamp: s1\r\n\r\n"+c.part)
				time.Sleep(50 * time.Millisecond) // a reset discards what has not been sent
				reset(conn, r)
			})
			f.publishDocument(strings.Replace(document, `"MaxBodyBytes":1000`, `"MaxBodyBytes":100000000`, 1))
			for range uploads {
				r := f.send(http.MethodPost, c.path, nil, bytes.NewReader(make([]byte, 16<<20)))
				if r.err == nil && r.status != http.StatusBadGateway {
					t.Errorf("status %d, with %d bytes of a part as a whole answer", r.status, len(r.body))
				}
			}
			if n := len(f.arrivals()); n != uploads {
				t.Errorf("%d requests that may run once were sent %d times", uploads, n)
			}
		})
	}
}

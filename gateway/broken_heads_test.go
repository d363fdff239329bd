package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/balsamlb/balsamlb/internal/emulate"
)

// answerBroken answers a request with a broken head, and a body in chunks that is one event.
func answerBroken(broken emulate.BrokenHead) handler {
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, broken.Head+"\r\n")
		chunk(c, event(1))
		chunk(c, "")
		_ = c.Close()
	}
}

// Guards against heads that are no heads of HTTP answers: callers got them, or their connections were closed.
func TestBrokenHeadsReachNoCaller(t *testing.T) {
	for _, broken := range emulate.BrokenHeads("Balsamlb-Request-Id: req-1\r\nBalsamlb-Response-Stamp: s1\r\nContent-Type: text/event-stream\r\n") {
		for path, isStream := range map[string]bool{"/hold/1": false, "/check/1": false, "/once/1": true, "/advice/1": true} {
			t.Run(broken.Name+", "+path, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				service, layers := "desk", 0
				if isStream {
					service, layers = "advice", 4
				}
				f.serve("broken", service, 0, layers, answerBroken(broken))
				f.publish()
				if r := f.send(http.MethodPost, path, nil, strings.NewReader("x")); r.err != nil || r.status != http.StatusBadGateway {
					t.Errorf("status %d, %v, header %v, body %q", r.status, r.err, r.header, r.body)
				}
				if n := len(f.arrivals()); n != 1 {
					t.Errorf("sent %d times", n)
				}
			})
		}
	}
}

// Guards the neighbours of such a server: what may run again is served by a sound one, and its requests by no broken one.
func TestRequestsAreServedBesideBrokenHeads(t *testing.T) {
	for _, broken := range emulate.BrokenHeads("Balsamlb-Request-Id: req-1\r\nBalsamlb-Response-Stamp: s1\r\n") {
		t.Run(broken.Name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.serve("broken", "desk", 0, 0, answerBroken(broken))
			f.serve("sound", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, http.StatusOK, "sound") })
			f.publish()
			for range 8 {
				if r := f.send(http.MethodPost, "/check/1", nil, strings.NewReader("x")); r.status != http.StatusOK || r.body != "sound" {
					t.Errorf("status %d, %v, body %q", r.status, r.err, r.body)
				}
			}
		})
	}
}

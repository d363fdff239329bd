package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/intake"
	"github.com/balsamlb/balsamlb/internal/connguard"
)

// Guards against answers that break off on their way to a caller and look complete there: to a caller of HTTP/1.0, a body
// without a length ends with its connection. Also if the connection is guarded.
func TestAnswerThatBreaksOffLooksIncomplete(t *testing.T) {
	for _, isGuarded := range []bool{false, true} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, path := range []string{"/hold/1", "/once/1"} {
				t.Run(fmt.Sprintf("%s, %s, guarded: %t", version, path, isGuarded), func(t *testing.T) {
					f := newFleet(t)
					breaksOff := func(c net.Conn, part string) {
						chunk(c, part)
						time.Sleep(50 * time.Millisecond) // a reset discards what has not been sent
						reset(c, nil)
					}
					f.serve("desk", "desk", 0, 0, func(c net.Conn, _ *http.Request) {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: req-1\r\nBalsamlb-Response-Stamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n")
						breaksOff(c, strings.Repeat("a part", 100<<10)) // more than is buffered
					})
					f.serve("advice", "advice", 0, 4, func(c net.Conn, _ *http.Request) {
						streamHeader(c)
						breaksOff(c, event(1))
					})
					f.publish()
					front := f.front
					if isGuarded {
						front = guardedFront(t, f)
					}
					c, err := net.Dial("tcp", front.Listener.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					defer c.Close()
					fmt.Fprintf(c, "POST %s %s\r\nHost: shop\r\nBalsamlb-Request-Id: req-1\r\nApi-Key: key-1\r\nContent-Length: 1\r\n\r\nx", path, version)
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						return // the reset came before the head
					}
					if body, err := io.ReadAll(resp.Body); err == nil {
						t.Errorf("status %d, with %d bytes of a part as a whole answer", resp.StatusCode, len(body))
					}
				})
			}
		}
	}
}

// guardedFront returns a server whose listener is guarded as that of a gateway's process.
func guardedFront(t *testing.T, f *fleet) *httptest.Server {
	t.Helper()
	front := httptest.NewUnstartedServer(f.gateway)
	guard := connguard.New(connguard.Options{Limits: intake.Limits{Bytes: 64 << 20, Connections: 10}})
	front.Listener = guard.Listener(front.Listener)
	front.Config.ConnContext, front.Config.ConnState = connguard.ConnContext, connguard.ConnState
	front.Start()
	t.Cleanup(front.Close)
	return front
}

// Guards against a server that goes on getting requests though its long answers break off: only those that broke off before
// anything was written to the caller counted against it.
func TestServerWhoseLongAnswersBreakOffIsAvoided(t *testing.T) {
	const requests = 40
	f := newFleet(t)
	f.serve("broken", "desk", 0, 0, func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: req-1\r\nBalsamlb-Response-Stamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(c, strings.Repeat("a part", 100<<10)) // more than is buffered
		time.Sleep(50 * time.Millisecond)
		reset(c, r)
	})
	f.serve("sound", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, http.StatusOK, "sound") })
	f.publish()
	brokenOff := 0
	for range requests {
		if r := f.send(http.MethodPost, "/check/1", nil, strings.NewReader("x")); r.err != nil {
			brokenOff++
		}
	}
	t.Logf("%d of %d answers broke off", brokenOff, requests)
	if brokenOff > requests/4 {
		t.Errorf("%d of %d answers broke off", brokenOff, requests)
	}
}

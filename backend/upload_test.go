package backend_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/backend"
)

// Guards against a part of an answer that counts as a whole one: the server answers a call without a length, and resets the
// connection without reading the call's body.
func TestAnswerThatIsResetDuringItsCallIsNoAnswer(t *testing.T) {
	for _, size := range []int{40, 20_000, 300_000, 16 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part")
				time.Sleep(50 * time.Millisecond) // a reset discards what has not been sent
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
			answer, err := backend.Call(t.Context(), backend.CallRequest{
				Server: "s", Address: l.Addr().String(), Service: "desk", Request: "r", Body: make([]byte, size),
			})
			var failed *backend.CallError
			if !errors.As(err, &failed) || !failed.Sent {
				t.Errorf("answered with %q, %v", answer.Body, err)
			}
		})
	}
}

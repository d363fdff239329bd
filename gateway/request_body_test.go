package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// dialFront opens a connection of a caller and sends the beginning of a request.
func (f *fleet) dialFront(head string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, head); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// Guards against callers that hold a connection by a body that doesn't end.
func TestBodyThatDoesNotArriveIsRefusedAtTheDeadline(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.serve("s", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, http.StatusOK, "ok") })
	f.publish()
	for _, length := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		c := f.dialFront(fmt.Sprintf("POST /short/1 HTTP/1.1\r\nHost: shop\r\nApi-Key: key-1\r\nBalsamlb-Request-Id: req-1\r\n%s\r\n\r\n", length))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	}
	is.Equal(len(f.arrivals()), 0)
}

// Guards against a read deadline that outlasts the body and ends a request while it runs.
func TestBodyDeadlineDoesNotEndTheRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.serve("s", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, http.StatusOK, "ok") })
	f.publish()
	for range 3 { // on one connection, which is kept
		is.Equal(f.send(http.MethodPost, "/check/1", nil, strings.NewReader("x")).status, http.StatusOK)
	}
}

package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a request with a long body that is ended because its server stands still for three
// seconds before it reads on: TCP_USER_TIMEOUT also ends connections whose peer's window is full.
func TestServerThatReadsLateGetsTheWholeBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	body := bytes.Repeat([]byte("x"), 1<<20)
	read := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		time.Sleep(3 * time.Second)
		n, _ := io.CopyN(io.Discard, c, int64(len(body)))
		read <- n
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	}()
	resp, err := NewClient().Do(t.Context(), &Request{
		Server: "s", Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "shop", Header: http.Header{}, Body: body, HasBody: true,
	})
	if err != nil {
		t.Fatalf("the server read %d of %d bytes: %v", <-read, len(body), err)
	}
	resp.Close()
}

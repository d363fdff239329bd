package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/matryer/is"
)

// longBody fills the buffers of a connection to a server that reads nothing of it.
var longBody = bytes.Repeat([]byte("x"), 64<<20)

// watchedConn is a connection that tells when a write has failed.
type watchedConn struct {
	*net.TCPConn
	hasFailed chan struct{}
	once      sync.Once
}

func (c *watchedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.hasFailed) })
	}
	return n, err
}

// upload sends a long body to a server that sends the answer without reading the body, and then calls end with
// the connection. It returns the answer, whose body is unread, and a channel that is closed once a write of the
// body has failed.
func upload(t *testing.T, answer string, end func(c *net.TCPConn)) (resp *Response, hasFailed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	headArrived := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		<-headArrived
		end(c.(*net.TCPConn))
	}()
	watched := &watchedConn{hasFailed: make(chan struct{})}
	client := NewClient()
	client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		watched.TCPConn = c.(*net.TCPConn)
		return watched, nil
	}
	resp, err = client.Do(t.Context(), &Request{
		Server: "s", Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "shop", Body: longBody, HasBody: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(resp.Close)
	close(headArrived)
	return resp, watched.hasFailed
}

const unboundedAnswer = "HTTP/1.1 200 OK\r\n\r\na part"

// Guards against an answer without a length that is taken for complete though the server has reset the connection: the
// kernel reports a reset once, and the write of a long body may have been told.
func TestResetOfAnUploadMakesItsAnswerIncomplete(t *testing.T) {
	is := is.New(t)
	resp, hasFailed := upload(t, unboundedAnswer, func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	<-hasFailed
	body, err := io.ReadAll(resp)
	is.True(err != nil)
	is.Equal(string(body), "a part")
}

// The same while the answer is read: either the read or the write is told of the reset.
func TestResetOfAnUploadWhileItsAnswerIsReadMakesItIncomplete(t *testing.T) {
	for range 20 {
		is := is.New(t)
		resp, _ := upload(t, unboundedAnswer, func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		})
		_, err := io.ReadAll(resp)
		is.True(err != nil)
	}
}

// The same for data that the server never takes, after which the kernel gives the connection up.
func TestTimeoutOfAnUploadMakesItsAnswerIncomplete(t *testing.T) {
	is := is.New(t)
	resp, hasFailed := upload(t, unboundedAnswer, func(*net.TCPConn) {})
	raw, err := resp.conn.Conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(setTimeout(raw, 100*time.Millisecond))
	<-hasFailed
	_, err = io.ReadAll(resp)
	is.True(IsTimeout(err))
}

// The same over a network in memory, which reports a reset once as well.
func TestResetOfAnUploadInMemoryMakesItsAnswerIncomplete(t *testing.T) {
	for name, isReset := range map[string]bool{"reset": true, "closed": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := emulate.NewNetwork()
			l, err := n.Listen("127.0.0.1:0")
			is.NoErr(err)
			near, err := n.Dial(t.Context(), l.Addr().String())
			is.NoErr(err)
			far, err := l.Accept()
			is.NoErr(err)
			if isReset {
				is.NoErr(far.(interface{ SetLinger(int) error }).SetLinger(0))
			}
			is.NoErr(far.Close())
			w := &writing{ended: make(chan struct{})}
			w.end(writeAll(near, longBody))
			_, err = near.Read(make([]byte, 1))
			is.True(errors.Is(err, io.EOF))
			is.Equal((&conn{Conn: near}).checkEnd(w) != nil, isReset)
		})
	}
}

// Guards the answers of servers that refuse to read a long body: the end of the answer has arrived, whatever becomes of
// the body.
func TestAnswerThatEndsDuringAnUploadIsComplete(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"connection stays open for the body": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"connection is reset after the answer": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.Close()
		},
		"body is read after the answer": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, _ := upload(t, unboundedAnswer, end)
			body, err := io.ReadAll(resp)
			is.NoErr(err)
			is.Equal(string(body), "a part")
		})
	}
}

// The same if the answer is read after the connection was reset.
func TestAnswerThatEndedBeforeAResetIsComplete(t *testing.T) {
	is := is.New(t)
	resp, hasFailed := upload(t, unboundedAnswer, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_ = c.Close()
	})
	<-hasFailed
	body, err := io.ReadAll(resp)
	is.NoErr(err)
	is.Equal(string(body), "a part")
}

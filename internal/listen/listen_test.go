package listen

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against connections that are reset by a planned stop after the kernel has accepted them.
func TestQueuedConnectionsAreAcceptedBeforeTheEnd(t *testing.T) {
	is := is.New(t)
	l, err := TCP("127.0.0.1:0")
	is.NoErr(err)
	const queued = 5
	for range queued {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	closed := make(chan error, 1)
	go func() { closed <- l.Close() }()
	accepted := 0
	for {
		c, err := l.Accept()
		if err != nil {
			is.True(errors.Is(err, net.ErrClosed))
			break
		}
		defer c.Close()
		accepted++
	}
	is.Equal(accepted, queued)
	is.NoErr(<-closed)
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil)
	is.NoErr(l.Close())
}

// Guards a planned stop of a server: requests on queued connections are answered.
func TestServerAnswersQueuedRequestsBeforeItsEnd(t *testing.T) {
	is := is.New(t)
	l, err := TCP("127.0.0.1:0")
	is.NoErr(err)
	var clients []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		clients = append(clients, c)
	}
	server := &http.Server{Handler: http.NotFoundHandler()}
	stopped := make(chan error, 1)
	go func() { stopped <- errors.Join(l.Close(), server.Shutdown(t.Context())) }()
	is.True(server.Serve(l) != nil)
	for _, c := range clients {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusNotFound)
	}
	is.NoErr(<-stopped)
}

func TestCloseReturnsIfNobodyAccepts(t *testing.T) {
	is := is.New(t)
	l, err := TCP("127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}

// Guards against a process that ends since it has too many open files for a moment.
func TestAcceptGoesOnAfterErrorsThatPass(t *testing.T) {
	is := is.New(t)
	l, err := TCP("127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	failures := []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE}
	l.accept = func() (net.Conn, error) {
		if len(failures) > 0 {
			err := &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", failures[0])}
			failures = failures[1:]
			return nil, err
		}
		return l.TCPListener.Accept()
	}
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	is.NoErr(accepted.Close())
	is.Equal(len(failures), 0)
}

package listen

import (
	"errors"
	"net"
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

func TestCloseReturnsIfNobodyAccepts(t *testing.T) {
	is := is.New(t)
	l, err := TCP("127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}

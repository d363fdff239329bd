package emulate_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/matryer/is"
)

const networkAddress = "127.0.0.1:80"

// connect opens a connection to a listener that is closed after it.
func connect(t *testing.T, l net.Listener, dial func(context.Context, string) (net.Conn, error)) (near, far net.Conn) {
	t.Helper()
	is := is.New(t)
	defer l.Close()
	near, err := dial(t.Context(), l.Addr().String())
	is.NoErr(err)
	far, err = l.Accept()
	is.NoErr(err)
	return near, far
}

func listenIn(t *testing.T, n *emulate.Network) net.Listener {
	t.Helper()
	l, err := n.Listen(networkAddress)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func setLinger(c net.Conn) { _ = c.(interface{ SetLinger(seconds int) error }).SetLinger(0) }

func isQuiet(c net.Conn) bool { return c.(interface{ IsQuiet() bool }).IsQuiet() }

func TestNetworkRefusesAndListens(t *testing.T) {
	is := is.New(t)
	n := emulate.NewNetwork()
	_, err := n.Dial(t.Context(), networkAddress)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	l, err := n.Listen(networkAddress)
	is.NoErr(err)
	_, err = n.Listen(networkAddress)
	is.True(errors.Is(err, syscall.EADDRINUSE))
	other, err := n.Listen("127.0.0.1:0")
	is.NoErr(err)
	is.True(other.Addr().String() != l.Addr().String())

	waiting, err := n.Dial(t.Context(), networkAddress)
	is.NoErr(err)
	is.Equal(waiting.RemoteAddr().String(), networkAddress)
	is.NoErr(l.Close())
	_, err = waiting.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET)) // nobody accepted it
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
	_, err = n.Dial(t.Context(), networkAddress)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	_, err = n.Listen(networkAddress)
	is.NoErr(err)
}

// Plays the same at the machine's loopback interface, so that the network is no easier than it.
func TestNetworkConnsEndAsThoseOfTCP(t *testing.T) {
	n := emulate.NewNetwork()
	dialTCP := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	t.Run("network", func(t *testing.T) {
		testEndsOfConns(t, func() net.Listener { return listenIn(t, n) }, n.Dial)
	})
	t.Run("loopback", func(t *testing.T) {
		testEndsOfConns(t, func() net.Listener {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			return l
		}, dialTCP)
	})
}

func testEndsOfConns(t *testing.T, listen func() net.Listener, dial func(context.Context, string) (net.Conn, error)) {
	for _, test := range []struct {
		name string
		// end ends the far end, to which "ab" was written.
		end func(far net.Conn)
		// reads are what two reads after the far end's bytes return, and writes what two writes return after these or, if
		// readsLast is set, before them.
		readsLast     bool
		reads, writes [2]error
	}{
		{"closed", closeRead, false, [2]error{io.EOF, io.EOF}, [2]error{nil, syscall.EPIPE}},
		{"closed, written first", closeRead, true, [2]error{io.EOF, io.EOF}, [2]error{nil, syscall.EPIPE}},
		{"closed with unread bytes", closeConn, false, [2]error{syscall.ECONNRESET, io.EOF}, [2]error{syscall.EPIPE, syscall.EPIPE}},
		{"closed with unread bytes, written first", closeConn, true, [2]error{io.EOF, io.EOF}, [2]error{syscall.ECONNRESET, syscall.EPIPE}},
		{"reset", resetConn, false, [2]error{syscall.ECONNRESET, io.EOF}, [2]error{syscall.EPIPE, syscall.EPIPE}},
		{"reset, written first", resetConn, true, [2]error{io.EOF, io.EOF}, [2]error{syscall.ECONNRESET, syscall.EPIPE}},
		{"half closed", closeWrite, false, [2]error{io.EOF, io.EOF}, [2]error{nil, nil}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			near, far := connect(t, listen(), dial)
			defer far.Close()
			_, err := near.Write([]byte("ab"))
			is.NoErr(err)
			_, err = far.Write([]byte("xyz"))
			is.NoErr(err)
			test.end(far)
			got := make([]byte, 3)
			reads := func() {
				_, err := io.ReadFull(near, got)
				is.NoErr(err)
				is.Equal(string(got), "xyz")
				for _, want := range test.reads {
					_, err := near.Read(got)
					is.True(errors.Is(err, want))
				}
			}
			if !test.readsLast {
				reads()
			}
			for _, want := range test.writes {
				_, err = near.Write([]byte("c"))
				is.True(errors.Is(err, want))
			}
			if test.readsLast {
				reads()
			}
			is.NoErr(near.Close())
			_, err = near.Read(got)
			is.True(errors.Is(err, net.ErrClosed))
			_, err = near.Write(got)
			is.True(errors.Is(err, net.ErrClosed))
		})
	}
}

func closeConn(c net.Conn) { _ = c.Close() }

func closeRead(c net.Conn) {
	_, _ = io.ReadFull(c, make([]byte, 2))
	_ = c.Close()
}

func resetConn(c net.Conn) {
	setLinger(c)
	closeRead(c)
}

func closeWrite(c net.Conn) { _ = c.(interface{ CloseWrite() error }).CloseWrite() }

func TestNetworkConnsKnowWhetherTheyAreQuiet(t *testing.T) {
	for _, end := range []func(net.Conn){closeConn, closeRead, resetConn, closeWrite} {
		is := is.New(t)
		n := emulate.NewNetwork()
		near, far := connect(t, listenIn(t, n), n.Dial)
		_, err := near.Write([]byte("ab"))
		is.NoErr(err)
		is.True(isQuiet(near))
		_, err = far.Write([]byte("x"))
		is.NoErr(err)
		is.True(!isQuiet(near))
		_, err = near.Read(make([]byte, 1))
		is.NoErr(err)
		is.True(isQuiet(near))
		end(far)
		is.True(!isQuiet(near))
	}
}

func TestNetworkKeepsDeadlinesInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := emulate.NewNetwork()
		near, far := connect(t, listenIn(t, n), n.Dial)
		began := time.Now()
		is.NoErr(near.SetReadDeadline(began.Add(time.Minute)))
		_, err := near.Read(make([]byte, 1))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(time.Since(began), time.Minute)
		var ne net.Error
		is.True(errors.As(err, &ne) && ne.Timeout())
		_, err = near.Write([]byte("a")) // has no deadline
		is.NoErr(err)

		is.NoErr(near.SetReadDeadline(time.Time{}))
		var reader sync.WaitGroup
		reader.Go(func() { _, err = near.Read(make([]byte, 1)) })
		time.Sleep(time.Hour)
		is.NoErr(near.SetDeadline(time.Unix(1, 0))) // ends the read at once
		reader.Wait()
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		_, err = near.Write([]byte("a"))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))

		is.NoErr(far.SetReadDeadline(time.Now().Add(time.Second)))
		is.NoErr(far.SetReadDeadline(time.Now().Add(time.Minute))) // replaces the former
		began = time.Now()
		_, err = io.ReadFull(far, make([]byte, 2))
		is.True(errors.Is(err, os.ErrDeadlineExceeded)) // only one byte has come
		is.Equal(time.Since(began), time.Minute)
	})
}

func TestLinksOverANetworkCanBeBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := emulate.NewNetwork()
		links := emulate.NewLinksOver(n.Dial)
		near, far := connect(t, listenIn(t, n), links.Dial)
		is.True(isQuiet(near))

		links.Break(emulate.LinkLosesAnswers)
		time.AfterFunc(time.Minute, func() { links.Break(emulate.LinkSound) })
		began := time.Now()
		_, err := far.Write([]byte("a"))
		is.NoErr(err)
		_, err = near.Read(make([]byte, 1))
		is.NoErr(err)
		is.Equal(time.Since(began), time.Minute)

		links.Break(emulate.LinkSilent)
		_, err = near.Write([]byte("b"))
		is.NoErr(err)
		began = time.Now()
		_, err = near.Read(make([]byte, 1))
		is.True(errors.Is(err, syscall.ETIMEDOUT)) // nothing acknowledges what was written
		is.Equal(time.Since(began), 2500*time.Millisecond)
		is.True(!isQuiet(near))
		_, err = far.Read(make([]byte, 1))
		is.Equal(err, io.EOF)

		links.Break(emulate.LinkSound)
		near, far = connect(t, listenIn(t, n), links.Dial)
		links.Break(emulate.LinkReset)
		_, err = near.Read(make([]byte, 1))
		is.True(errors.Is(err, syscall.ECONNRESET))
		is.True(!isQuiet(near))
		_, err = far.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		_, err = links.Dial(t.Context(), networkAddress)
		is.True(errors.Is(err, syscall.ECONNREFUSED))
	})
}

package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/balsamlb/balsamlb/internal/answers"
	"github.com/matryer/is"
)

// fakeServer is a backend server that answers requests with a given function.
type fakeServer struct {
	listener net.Listener
	requests atomic.Int64
	accepted atomic.Int64
}

// newFakeServer calls f for each request, with its number over all connections.
func newFakeServer(t *testing.T, f func(n int64, c net.Conn, r *http.Request)) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					f(s.requests.Add(1), c, r)
				}
			}()
		}
	}()
	return s
}

func (s *fakeServer) address() string { return s.listener.Addr().String() }

func (s *fakeServer) request(id string) *Request {
	return &Request{
		Server: "s", Address: s.address(), Method: http.MethodGet, Target: "/a?b=c", Host: "shop",
		Header:   http.Header{"X-Id": {id}},
		IsAnswer: func(_ int, h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func answer(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(t *testing.T, c *Client, r *Request) (string, error) {
	t.Helper()
	resp, err := c.Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(_ int64, c net.Conn, r *http.Request) { answer(c, r.Header.Get("X-Id"), "body "+r.RequestURI) })
	client := NewClient()
	for _, id := range []string{"1", "2", "3"} {
		body, err := do(t, client, s.request(id))
		is.NoErr(err)
		is.Equal(body, "body /a?b=c")
	}
	is.Equal(s.accepted.Load(), int64(1))
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(_ int64, c net.Conn, r *http.Request) {
		answer(c, "somebody else's", "not yours")
		answer(c, r.Header.Get("X-Id"), "yours")
	})
	body, err := do(t, NewClient(), s.request("1"))
	is.NoErr(err)
	is.Equal(body, "yours")
}

func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(_ int64, c net.Conn, r *http.Request) {
		id := r.Header.Get("X-Id")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok"+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", id)
	})
	client := NewClient()
	for _, id := range []string{"1", "2"} {
		body, err := do(t, client, s.request(id))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(s.accepted.Load(), int64(2))
}

func TestNothingIsSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			s := newFakeServer(t, func(n int64, c net.Conn, r *http.Request) {
				if n == 1 {
					answer(c, r.Header.Get("X-Id"), "first")
					return
				}
				_ = c.Close()
			})
			client := NewClient()
			_, err := do(t, client, s.request("1"))
			is.NoErr(err)
			r := s.request("2")
			r.Method = method
			_, err = do(t, client, r)
			is.True(errors.Is(err, ErrInterrupted))
			is.Equal(s.requests.Load(), int64(2))
		})
	}
}

func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, nil)
	_ = s.listener.Close()
	_, err := do(t, NewClient(), s.request("1"))
	is.True(errors.Is(err, ErrNotSent))
	is.True(!errors.Is(err, ErrInterrupted))
}

func TestTruncatedAnswersAreIncomplete(t *testing.T) {
	for name, text := range map[string]string{
		"cut body":       "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"cut chunk":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"no last chunk":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no status line": "half an answer\r\n\r\n",
		"cut header":     "HTTP/1.1 200 OK\r\nX-Id",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeServer(t, func(_ int64, c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			_, err := do(t, NewClient(), s.request("1"))
			is.True(err != nil)
		})
	}
}

func TestAnswerWithoutLengthEndsAtConnectionClose(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(_ int64, c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
		_ = c.Close()
	})
	body, err := do(t, NewClient(), s.request("1"))
	is.NoErr(err)
	is.Equal(body, "all of it")
}

func TestResetAnswerWithoutLengthIsIncomplete(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(_ int64, c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, err := do(t, NewClient(), s.request("1"))
	is.True(err != nil)
}

func TestContextCancellationClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := newFakeServer(t, func(_ int64, c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := NewClient().Do(ctx, s.request("1"))
	is.NoErr(err)
	defer resp.Close()
	_, err = io.ReadFull(resp, make([]byte, 4))
	is.NoErr(err)
	cancel()
	<-closed
}

func TestEarlyAnswerToALongBodyIsRead(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err == nil {
			// The body stays unread, which blocks the writer.
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	r := &Request{Server: "s", Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "shop", HasBody: true, Body: []byte(strings.Repeat("x", 32<<20))}
	resp, err := NewClient().Do(t.Context(), r)
	is.NoErr(err)
	is.Equal(resp.Status, 413)
	resp.Close()
}

func TestProbeDetectsRefusedConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := NewClient()
	is.NoErr(c.Probe(t.Context(), l.Addr().String()))
	is.NoErr(l.Close())
	is.True(errors.Is(c.Probe(t.Context(), l.Addr().String()), syscall.ECONNREFUSED))
}

// Guards against a request that is sent though its server has become unusable while the connection was
// opened.
func TestNothingIsSentThatMayNotBeSent(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(_ int64, c net.Conn, r *http.Request) { answer(c, r.Header.Get("X-Id"), "body") })
	client := NewClient()
	_, err := do(t, client, s.request("1")) // leaves a connection in the pool
	is.NoErr(err)
	errNo := errors.New("no")
	r := s.request("2")
	r.MaySend = func() error { return errNo }
	for range 2 {
		_, err = do(t, client, r)
		is.True(errors.Is(err, errNo))
		is.True(errors.Is(err, ErrNotSent))
	}
	r.MaySend = func() error { return nil }
	_, err = do(t, client, r)
	is.NoErr(err)
	is.Equal(s.requests.Load(), int64(2))
}

// Guards against ending a call because of its interim answers: they counted as answers to other requests.
func TestInterimAnswersAreSkipped(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(_ int64, c net.Conn, r *http.Request) {
		for range 2 * answers.MaxAnswers {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n")
		}
		answer(c, r.Header.Get("X-Id"), "yours")
	})
	body, err := do(t, NewClient(), s.request("1"))
	is.NoErr(err)
	is.Equal(body, "yours")
}

func TestInterimAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, func(_ int64, c net.Conn, r *http.Request) {
		for {
			if _, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"); err != nil {
				return
			}
		}
	})
	_, err := do(t, NewClient(), s.request("1"))
	is.True(err != nil)
}

package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/matryer/is"
)

// turnAway responds that the request did not run, with a Retry-After header.
func turnAway(c net.Conn, retryAfter string) {
	fmt.Fprintf(c, "HTTP/1.1 503 Status\r\nBalsamlb-Request-Id: req-1\r\nBalsamlb-Not-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", retryAfter)
}

// callers sends requests from several callers at once, one after another each, until the time is over.
func (f *fleet) callers(n int, path string, d time.Duration, each func(result)) {
	var group sync.WaitGroup
	until := time.Now().Add(d)
	for range n {
		group.Go(func() {
			for time.Now().Before(until) {
				r := f.get(path, nil)
				if each != nil {
					each(r)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

// pausingServer is a backend server that turns its first request away with Retry-After, and serves all
// later ones.
type pausingServer struct {
	mu         sync.Mutex
	retryAfter time.Duration
	said       time.Time
	tooEarly   int
	served     int
}

func (s *pausingServer) handle(c net.Conn, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.said.IsZero() {
		s.said = now
		turnAway(c, fmt.Sprint(s.retryAfter.Seconds()))
		return
	}
	age := now.Sub(s.said)
	if age > 500*time.Millisecond && age < s.retryAfter {
		s.tooEarly++
	}
	if age < s.retryAfter {
		turnAway(c, fmt.Sprint((s.retryAfter - age).Seconds()))
		return
	}
	s.served++
	reply(c, 200, "served")
}

// Guards against more than two requests to a server that has asked for none for a time (BUDGET).
func TestServerThatWantsNothingGetsNothing(t *testing.T) {
	for name, hasOther := range map[string]bool{"alone": false, "beside a free copy": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t)
			s := &pausingServer{retryAfter: 3 * time.Second}
			f.serve("pausing", "desk", 0, 0, s.handle)
			if hasOther {
				f.serve("free", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, 200, "free") })
			}
			f.publish()
			f.callers(8, "/check/", 4*time.Second, nil)
			s.mu.Lock()
			defer s.mu.Unlock()
			t.Logf("requests in the forbidden span: %d, served afterwards: %d", s.tooEarly, s.served)
			is.True(!s.said.IsZero())
			is.True(s.tooEarly <= 2)
			is.True(s.served > 0)
		})
	}
}

// retryAfter returns the Retry-After delay of a response.
func (r result) retryAfter(t *testing.T) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatalf("Retry-After of status %d: %v", r.status, err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Guards against callers that are told to return long before the server takes requests again.
func TestCallIsRefusedWithTheTimeOfTheFirstCopy(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var arrivals atomic.Int64
	f.serve("long", "desk", 0, 0, func(c net.Conn, _ *http.Request) { arrivals.Add(1); turnAway(c, "50") })
	f.serve("short", "desk", 0, 0, func(c net.Conn, _ *http.Request) { arrivals.Add(1); turnAway(c, "30") })
	f.publish()
	for range 20 {
		r := f.get("/check/", nil)
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(r.retryAfter(t) > 20*time.Second)
		is.True(r.retryAfter(t) <= 31*time.Second)
	}
	is.Equal(arrivals.Load(), int64(2))
}

// Guards against the refusal of calls that could be served after a short wait.
func TestCallWaitsForAShortPause(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var arrivals atomic.Int64
	f.serve("a", "desk", 0, 0, func(c net.Conn, _ *http.Request) {
		if arrivals.Add(1) == 1 {
			turnAway(c, "0.15")
			return
		}
		reply(c, 200, "a")
	})
	f.publish()
	is.Equal(f.get("/check/", nil).status, 200)
	is.Equal(f.get("/hold/", nil).status, 200)
	is.Equal(arrivals.Load(), int64(3))
}

// Guards against a herd on a server at the end of its pause.
func TestOneCallReturnsFirstAfterAPause(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var arrivals, atFirst atomic.Int64
	release := make(chan struct{})
	f.serve("a", "desk", 0, 0, func(c net.Conn, _ *http.Request) {
		switch arrivals.Add(1) {
		case 1:
			turnAway(c, "0.4")
			return
		case 2:
			time.Sleep(100 * time.Millisecond) // all callers are back by then
			atFirst.Store(arrivals.Load())
			close(release)
		}
		<-release
		reply(c, 200, "a")
	})
	f.publish()
	is.Equal(f.get("/check/", nil).status, http.StatusServiceUnavailable)
	served := 0
	var mu sync.Mutex
	f.callers(20, "/check/", time.Second, func(r result) {
		mu.Lock()
		defer mu.Unlock()
		if r.status == 200 {
			served++
		}
	})
	is.Equal(atFirst.Load(), int64(2)) // the one that was turned away, and the first one after it
	is.True(served > 0)
}

// Guards against values that empty a service, or that are ignored.
func TestAbsurdRetryAfterIsBounded(t *testing.T) {
	for _, stated := range []string{"0", "-3", "soon", "Fri, 04 Dec 2026 08:00:00 GMT", "31536000"} {
		t.Run(stated, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			var arrivals atomic.Int64
			f.serve("a", "desk", 0, 0, func(c net.Conn, _ *http.Request) {
				if arrivals.Add(1) == 1 {
					turnAway(c, stated)
					return
				}
				reply(c, 200, "a")
			})
			f.publish()
			r := f.get("/check/", nil)
			if r.status == 200 { // a bounded value that is so short that the call has waited
				is.Equal(arrivals.Load(), int64(2))
				return
			}
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.True(r.retryAfter(t) <= 61*time.Second)
		})
	}
}

// Guards against new drafts, as first servers and as later parts, on servers that want nothing.
func TestDraftIsRefusedWithTheTimeOfTheFirstCopy(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var arrivals atomic.Int64
	f.serve("a", "advice", 0, 4, func(c net.Conn, _ *http.Request) { arrivals.Add(1); turnAway(c, "30") })
	f.publish()
	for range 10 {
		r := f.get("/advice/", nil)
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(r.retryAfter(t) > 20*time.Second)
	}
	is.Equal(arrivals.Load(), int64(1))
	f.serve("b", "advice", 0, 4, func(c net.Conn, _ *http.Request) {
		streamHeader(c)
		wholeStream(c, 0, 1)
	})
	f.until(func() bool { return f.get("/advice/", nil).status == 200 })
	is.Equal(arrivals.Load(), int64(1))
}

// Guards against a later part of a path that wants nothing and is used again.
func TestLaterPartThatWantsNothingGetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	rest := f.serve("rest", "advice", 2, 4, func(c net.Conn, r *http.Request) { reset(c, r) })
	var mu sync.Mutex
	var paths []string
	f.serve("front", "advice", 0, 2, func(c net.Conn, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		path := r.Header.Get("Balsamlb-Hop-Count")
		paths = append(paths, path)
		if strings.Contains(path, rest) {
			fmt.Fprintf(c, "HTTP/1.1 503 Status\r\nBalsamlb-Request-Id: req-1\r\nBalsamlb-Not-Executed: 1\r\nAt-Server: %s\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n", rest)
			return
		}
		streamHeader(c)
		wholeStream(c, 0, 1)
	})
	f.publish()
	is.Equal(f.get("/advice/", nil).status, http.StatusServiceUnavailable)
	f.serve("front2", "advice", 0, 2, func(c net.Conn, r *http.Request) {
		mu.Lock()
		paths = append(paths, r.Header.Get("Balsamlb-Hop-Count"))
		mu.Unlock()
		streamHeader(c)
		wholeStream(c, 0, 1)
	})
	f.serve("rest2", "advice", 2, 4, func(c net.Conn, r *http.Request) { reset(c, r) })
	f.until(func() bool { return f.get("/advice/", nil).status == 200 })
	mu.Lock()
	defer mu.Unlock()
	withRest := 0
	for _, p := range paths {
		if strings.Contains(p, rest) {
			withRest++
		}
	}
	is.Equal(withRest, 1)
}

// Guards against an instance that takes over what a server has said to another one.
func TestPauseCountsForTheInstanceThatGotIt(t *testing.T) {
	is := is.New(t)
	a, b := newFleet(t), newFleet(t)
	var mu sync.Mutex
	arrivals := make(map[string]int) // by the instance
	address := a.serve("a", "desk", 0, 0, func(c net.Conn, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		from := r.Header.Get("X-From")
		arrivals[from]++
		if from == "a" {
			turnAway(c, "30")
			return
		}
		reply(c, 200, "served")
	})
	b.announceDesk("a", address, 1, 1, discovery.StateReady)
	a.publish()
	b.publish()
	for range 5 {
		is.Equal(a.get("/check/", map[string]string{"X-From": "a"}).status, http.StatusServiceUnavailable)
		is.Equal(b.get("/check/", map[string]string{"X-From": "b"}).status, 200)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(arrivals["a"], 1)
	is.Equal(arrivals["b"], 5)
}

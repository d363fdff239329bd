package gateway_test

import (
	"fmt"
	"io"
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

// answer responds with the headers that every backend server sets, and more header lines.
func answer(c net.Conn, status int, lines, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nBalsamlb-Request-Id: req-1\r\nBalsamlb-Response-Stamp: s1\r\n%sContent-Length: %d\r\n\r\n%s", status, lines, len(body), body)
}

// leavingLine is the header line by which a server says that it leaves.
const leavingLine = "Server-Leaving: 1\r\n"

// Guards against requests to a server that has said in an answer that it leaves (DRAIN).
func TestNoCallReachesServerThatSaysItLeaves(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var arrivals atomic.Int64
	f.serve("leaving", "desk", 0, 0, func(c net.Conn, _ *http.Request) {
		arrivals.Add(1)
		answer(c, 200, leavingLine, "leaving")
	})
	f.serve("staying", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, 200, "staying") })
	f.publish()
	f.until(func() bool { return f.get("/check/", nil).body == "leaving" })
	before := arrivals.Load()
	served := 0
	for range 200 {
		if f.get("/check/", nil).body == "staying" {
			served++
		}
	}
	is.Equal(arrivals.Load()-before, int64(0))
	is.Equal(served, 200)
}

// Guards against requests of several callers at once to a server that has said that it leaves (DRAIN).
func TestNoCallSentAfterTheAnswerReachesServerThatLeaves(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var passedOn atomic.Int64 // when the first answer that says so was received, in Unix nanoseconds
	var late, arrivals atomic.Int64
	f.serve("leaving", "desk", 0, 0, func(c net.Conn, r *http.Request) {
		arrivals.Add(1)
		sent, _ := strconv.ParseInt(r.Header.Get("X-Sent"), 10, 64)
		if p := passedOn.Load(); p != 0 && sent > p {
			late.Add(1)
		}
		answer(c, 200, leavingLine, "leaving")
	})
	f.serve("staying", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, 200, "staying") })
	f.publish()
	var group sync.WaitGroup
	for i := range 16 {
		path := "/check/"
		if i%2 == 0 {
			path = "/hold/"
		}
		group.Go(func() {
			for range 50 {
				r := f.get(path, map[string]string{"X-Sent": strconv.FormatInt(time.Now().UnixNano(), 10)})
				if r.header.Get("Server-Leaving") != "" {
					passedOn.CompareAndSwap(0, time.Now().UnixNano())
				}
			}
		})
	}
	group.Wait()
	t.Logf("reached by %d, of these sent after the answer: %d", arrivals.Load(), late.Load())
	is.True(passedOn.Load() != 0)
	is.Equal(late.Load(), int64(0))
}

// leavingStream is the header of an event stream of a server that leaves.
func leavingStream(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: req-1\r\nBalsamlb-Response-Stamp: s1\r\n"+leavingLine+
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// wholeStream sends the given events and ends the stream.
func wholeStream(c net.Conn, from, to int) {
	for i := from; i < to; i++ {
		chunk(c, event(i))
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// Guards against new streams on a server that has said that it leaves, and against the end of those that
// run on it.
func TestStreamOnServerThatLeavesEndsWhole(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	goOn := make(chan struct{})
	var reached atomic.Int64
	f.serve("leaving", "advice", 0, 4, func(c net.Conn, _ *http.Request) {
		reached.Add(1)
		leavingStream(c)
		chunk(c, event(0))
		<-goOn
		wholeStream(c, 1, 3)
	})
	f.publish()
	whole := make(chan result)
	go func() { whole <- f.get("/advice/", nil) }()
	f.until(func() bool { return reached.Load() == 1 })
	f.serve("staying", "advice", 0, 4, func(c net.Conn, _ *http.Request) {
		streamHeader(c)
		wholeStream(c, 0, 2)
	})
	f.until(func() bool { return f.get("/advice/", nil).body == event(0)+event(1) })
	at := reached.Load()
	for range 20 {
		is.Equal(f.get("/advice/", nil).body, event(0)+event(1))
	}
	is.Equal(reached.Load(), at)
	close(goOn)
	r := <-whole
	is.NoErr(r.err)
	is.Equal(r.body, event(0)+event(1)+event(2))
}

// Guards against a server that has said that it leaves as a later part of paths.
func TestServerThatLeavesIsNoLaterPart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var mu sync.Mutex
	var paths []string
	both := func(c net.Conn, r *http.Request) {
		mu.Lock()
		paths = append(paths, r.Header.Get("Balsamlb-Hop-Count"))
		mu.Unlock()
		leavingStream(c)
		wholeStream(c, 0, 1)
	}
	leaving := f.serve("leaving", "advice", 0, 4, both)
	f.publish()
	f.until(func() bool { return f.get("/advice/", nil).status == 200 }) // says that it leaves
	f.serve("front", "advice", 0, 2, func(c net.Conn, r *http.Request) {
		mu.Lock()
		paths = append(paths, r.Header.Get("Balsamlb-Hop-Count"))
		mu.Unlock()
		streamHeader(c)
		wholeStream(c, 0, 1)
	})
	f.until(func() bool { return len(f.mesh.Snapshot().Servers) == 2 })
	mu.Lock()
	paths = nil
	mu.Unlock()
	// The rest of the model is only on the server that leaves.
	is.Equal(f.get("/advice/", nil).status, http.StatusServiceUnavailable)
	f.serve("rest", "advice", 2, 4, func(c net.Conn, _ *http.Request) { reset(c, nil) })
	f.until(func() bool { return f.get("/advice/", nil).status == 200 })
	mu.Lock()
	defer mu.Unlock()
	for _, p := range paths {
		is.True(!strings.Contains(p, leaving))
	}
}

// Guards against a stream that is resumed at a server that has said that it leaves.
func TestStreamIsNotResumedAtServerThatLeaves(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var reached atomic.Int64
	f.serve("leaving", "advice", 0, 4, func(c net.Conn, r *http.Request) {
		reached.Add(1)
		leavingStream(c)
		chunk(c, event(0))
		reset(c, r)
	})
	f.publish()
	r := f.get("/advice/", nil)
	is.True(r.err != nil) // broken off: no other server
	is.Equal(reached.Load(), int64(1))
	f.serve("staying", "advice", 0, 4, func(c net.Conn, _ *http.Request) {
		streamHeader(c)
		wholeStream(c, 0, 2)
	})
	f.until(func() bool { return f.get("/advice/", nil).body == event(0)+event(1) })
	is.Equal(reached.Load(), int64(1))
}

// announceDesk announces an incarnation of a plain server at the address of a running one.
func (f *fleet) announceDesk(id, address string, incarnation int64, sequence uint64, state discovery.State) {
	f.mesh.Announce(time.Now(), discovery.Announcement{
		ID: id, Incarnation: incarnation, Sequence: sequence, Service: "desk", Address: address, DataCentre: "a", State: state, Slots: 4,
	})
}

// Guards against an old announcement that wins against the answer, and against a drain that is taken
// back but still counts.
func TestLeavingEndsWhenDrainIsTakenBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var isLeaving atomic.Bool
	isLeaving.Store(true)
	address := f.serve("a", "desk", 0, 0, func(c net.Conn, _ *http.Request) {
		if isLeaving.Load() {
			answer(c, 200, leavingLine, "a")
			return
		}
		reply(c, 200, "a")
	})
	f.publish()
	is.Equal(f.get("/check/", nil).body, "a")
	is.Equal(f.get("/check/", nil).status, http.StatusServiceUnavailable)
	f.announceDesk("a", address, 1, 2, discovery.StateReady) // may have been sent before the answer
	f.serve("marker", "store", 0, 0, reset)                  // for a new view
	is.Equal(f.get("/check/", nil).status, http.StatusServiceUnavailable)
	f.announceDesk("a", address, 1, 3, discovery.StateDraining)
	f.awaitView(func() bool { return f.get("/check/", nil).status == http.StatusServiceUnavailable })
	isLeaving.Store(false)
	f.announceDesk("a", address, 1, 4, discovery.StateReady)
	f.until(func() bool { return f.get("/check/", nil).body == "a" })
}

// awaitView waits until the gateway has followed the mesh, and checks a condition.
func (f *fleet) awaitView(holds func() bool) {
	time.Sleep(50 * time.Millisecond)
	f.until(holds)
}

// Guards against a report that counts for the next incarnation of its server.
func TestRestartedServerIsAnother(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var isLeaving atomic.Bool
	isLeaving.Store(true)
	address := f.serve("a", "desk", 0, 0, func(c net.Conn, _ *http.Request) {
		if isLeaving.Load() {
			answer(c, 200, leavingLine, "a")
			return
		}
		reply(c, 200, "a")
	})
	f.publish()
	is.Equal(f.get("/check/", nil).body, "a")
	is.Equal(f.get("/check/", nil).status, http.StatusServiceUnavailable)
	isLeaving.Store(false)
	f.announceDesk("a", address, 2, 1, discovery.StateReady)
	f.until(func() bool { return f.get("/check/", nil).body == "a" })
}

// Guards against a report of another server that has taken over the address.
func TestReportOfAnotherServerAtTheAddressIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var isOther atomic.Bool
	isOther.Store(true)
	f.serve("a", "desk", 0, 0, func(c net.Conn, _ *http.Request) {
		if isOther.Load() {
			answer(c, http.StatusMisdirectedRequest, leavingLine, "")
			return
		}
		reply(c, 200, "a")
	})
	f.publish()
	is.Equal(f.get("/check/", nil).status, http.StatusServiceUnavailable)
	isOther.Store(false)
	is.Equal(f.get("/check/", nil).body, "a")
}

// Guards against new requests to a server that has said that it leaves in its answer to a report.
func TestLeavingHeardInAReportCounts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	address := f.serve("a", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, 200, "a") })
	f.publish()
	is.Equal(f.get("/check/", nil).body, "a")
	f.gateway.RecordLeaving("127.0.0.1:1") // an unknown address
	is.Equal(f.get("/check/", nil).body, "a")
	f.gateway.RecordLeaving(address)
	is.Equal(f.get("/check/", nil).status, http.StatusServiceUnavailable)
}

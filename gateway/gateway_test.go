package gateway_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/matryer/is"
)

func TestRefusesWithRetryAfterWithoutRoutingDocument(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	r := f.get("/check/1", nil)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
}

// If all instances restart, an instance gets the routing document after about 0.3 s. A caller that
// is refused meanwhile may not retry, so the gateway has to wait for the document.
func TestRequestWaitsForFirstRoutingDocument(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.serve("d1", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, http.StatusOK, "held") })
	served := make(chan result, 1)
	go func() { served <- f.send(http.MethodPost, "/hold/1", nil, strings.NewReader("x")) }()
	time.Sleep(50 * time.Millisecond)
	f.publish()
	r := <-served
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, "held")
}

func TestRequestsAreCheckedAgainstRoutingDocument(t *testing.T) {
	f := newFleet(t)
	f.publish()
	f.serve("d1", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, 200, "ok") })
	f.until(func() bool { return f.get("/open/1", nil).status == http.StatusOK })
	for _, c := range []struct {
		name   string
		result result
		want   int
	}{
		{"no route", f.get("/nowhere/1", nil), http.StatusNotFound},
		{"another host", f.get("/check/1", map[string]string{"Host": "x"}), http.StatusOK}, // Go ignores this header
		{"unknown key", f.get("/check/1", map[string]string{"Api-Key": "stolen"}), http.StatusUnauthorized},
		{"no key where none is needed", f.get("/open/1", map[string]string{"Api-Key": ""}), http.StatusOK},
		{"body over the limit", f.send(http.MethodPost, "/hold/1", nil, bytes.NewReader(make([]byte, 1001))), http.StatusRequestEntityTooLarge},
		{"chunked body over the limit", f.send(http.MethodPost, "/hold/1", nil, io.MultiReader(bytes.NewReader(make([]byte, 1001)))), http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(c.result.status, c.want) })
	}
}

func TestForwardedRequestAndHeaders(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	type seen struct {
		Method, Target, Host, Body string
		Header                     http.Header
	}
	got := make(chan seen, 8)
	f.serve("d1", "desk", 0, 0, func(c net.Conn, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- seen{r.Method, r.RequestURI, r.Host, string(body), r.Header}
		reply(c, 201, "made\x00it")
	})
	header := map[string]string{
		"Balsamlb-Tenant": "somebody", "Balsamlb-Expect-Instance": "x", "Balsamlb-Hop-Count": "x", "X-Own": "kept",
		"Balsamlb-Deadline-Ms": "800", "Connection": "X-Hop", "X-Hop": "dropped",
	}
	var r result
	f.until(func() bool {
		r = f.send(http.MethodPost, "/hold/a%20b/?q=1&q=%2F", header, strings.NewReader("two\r\n\r\nlines"))
		return r.status != http.StatusServiceUnavailable
	})
	is.Equal(r.status, 201)
	is.Equal(r.body, "made\x00it")
	is.Equal(r.header.Get("Balsamlb-Response-Stamp"), "s1")
	s := <-got
	is.Equal(s.Method+" "+s.Target, "POST /hold/a%20b/?q=1&q=%2F")
	is.Equal(s.Host, "shop")
	is.Equal(s.Body, "two\r\n\r\nlines")
	is.Equal(s.Header.Get("Balsamlb-Tenant"), "kandy")
	is.Equal(s.Header.Get("Balsamlb-Expect-Instance"), "d1")
	is.Equal(s.Header.Values("Balsamlb-Hop-Count"), nil)
	is.Equal(s.Header.Values("Api-Key"), nil)
	is.Equal(s.Header.Get("X-Own"), "kept")
	is.Equal(s.Header.Values("X-Hop"), nil)
	left := s.Header.Get("Balsamlb-Deadline-Ms")
	is.True(len(left) <= 3 && left != "") // the caller's 800 ms at most, in milliseconds
}

func TestNonIdempotentRequestIsNotRetriedAfterLostResponse(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.serve("d1", "desk", 0, 0, reset)
	f.serve("d2", "desk", 0, 0, reset)
	f.publish() // once the gateway has the document, it also knows the servers
	var r result
	f.until(func() bool {
		r = f.send(http.MethodPost, "/hold/1", nil, strings.NewReader("x"))
		return len(f.arrivals()) > 0
	})
	is.Equal(r.status, http.StatusBadGateway) // neither 429 nor 503, since it may have run
	is.Equal(len(f.arrivals()), 1)
}

func TestIdempotentRequestIsRetriedOnAnotherServer(t *testing.T) {
	for name, bad := range map[string]handler{
		"reset":          reset,
		"failed":         func(c net.Conn, _ *http.Request) { reply(c, 500, "broken") },
		"not run":        func(c net.Conn, _ *http.Request) { notRun(c, 503, "") },
		"another server": func(c net.Conn, _ *http.Request) { notRun(c, 421, "") },
		"cut body": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: req-1\r\nBalsamlb-Response-Stamp: s\r\nContent-Length: 9\r\n\r\ncut")
			_ = c.Close()
		},
		"unmarked success": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: req-1\r\nContent-Length: 2\r\n\r\nno")
		},
		"not HTTP": func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "\x00\x01 garbage\r\n\r\n"); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			var served atomic.Int64
			one := func(c net.Conn, r *http.Request) {
				if served.Add(1) == 1 {
					bad(c, r)
					return
				}
				reply(c, 200, "good")
			}
			f.serve("d1", "desk", 0, 0, one)
			f.serve("d2", "desk", 0, 0, one)
			f.publish() // once the gateway has the document, it also knows both servers
			r := f.get("/check/1", nil)
			is.Equal(r.status, http.StatusOK)
			is.Equal(r.body, "good")
		})
	}
}

func TestRouteTimeoutEndsRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	closed := make(chan struct{}, 8)
	f.serve("d1", "desk", 0, 0, func(c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		closed <- struct{}{}
	})
	var r result
	f.until(func() bool {
		r = f.get("/short/1", nil)
		return len(f.arrivals()) > 0
	})
	is.Equal(r.status, http.StatusGatewayTimeout)
	<-closed // the gateway closes the connection to the server
}

func TestBrokenStreamResumesOnAnotherServer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	lastEvents := make(chan string, 8)
	var served atomic.Int64
	h := func(c net.Conn, r *http.Request) {
		lastEvents <- r.Header.Get("Last-Event-Id")
		streamHeader(c)
		if served.Add(1) == 1 {
			chunk(c, event(1)+event(2)+"id: 3\ndata: pie") // ends in the middle of an event
			reset(c, nil)
			return
		}
		chunk(c, event(2)+event(3)) // repeats event 2
		chunk(c, event(4))
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	f.serve("e1", "advice", 0, 4, h)
	f.serve("e2", "advice", 0, 4, h)
	f.publish() // once the gateway has the document, it also knows the servers
	var r result
	f.until(func() bool {
		r = f.send(http.MethodPost, "/advice/1", map[string]string{"Balsamlb-Token-Counts": "10,20"}, strings.NewReader("x"))
		return len(f.arrivals()) >= 2
	})
	is.NoErr(r.err)
	is.Equal(r.body, event(1)+event(2)+event(3)+event(4))
	is.Equal(<-lastEvents, "")
	is.Equal(<-lastEvents, "2")
}

func TestNonResumableStreamIsAborted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	f.serve("e1", "advice", 0, 4, func(c net.Conn, _ *http.Request) {
		streamHeader(c)
		chunk(c, event(1))
		reset(c, nil)
	})
	var r result
	f.until(func() bool {
		r = f.send(http.MethodPost, "/once/1", nil, strings.NewReader("x"))
		return len(f.arrivals()) > 0
	})
	is.Equal(r.status, http.StatusOK)
	is.True(r.err != nil)
	is.Equal(len(f.arrivals()), 1)
}

func TestDraftAvoidsServerThatRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	paths := make(chan string, 8)
	var fault atomic.Value
	fault.Store("")
	var served atomic.Int64
	f.serve("e1", "advice", 0, 2, func(c net.Conn, r *http.Request) {
		paths <- r.Header.Get("Balsamlb-Hop-Count")
		if served.Add(1) == 1 {
			notRun(c, 503, fault.Load().(string))
			return
		}
		streamHeader(c)
		chunk(c, event(1))
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	e2 := f.serve("e2", "advice", 2, 4, reset)
	e3 := f.serve("e3", "advice", 2, 4, reset)
	f.publish() // once the gateway has the document, it also knows the servers
	fault.Store(e2)
	f.until(func() bool {
		f.send(http.MethodPost, "/advice/1", nil, strings.NewReader("x"))
		return len(f.arrivals()) >= 2
	})
	first, second := <-paths, <-paths
	is.True(strings.HasSuffix(first, "=2-4"))
	// The response named e2 as the refusing server, so the second path must not use it.
	if strings.Contains(first, e2) {
		is.True(strings.Contains(second, e3))
	}
}

func TestDraftIsReroutedAroundStallingServer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	resume := make(chan struct{})
	f.serve("e1", "advice", 0, 2, func(c net.Conn, _ *http.Request) {
		streamHeader(c)
		chunk(c, event(1))
		<-resume
		chunk(c, event(2))
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	e2 := f.serve("e2", "advice", 2, 4, reset)
	f.orders.mu.Lock()
	f.orders.stalled = e2
	f.orders.mu.Unlock()
	results := make(chan result, 1)
	f.until(func() bool {
		r := f.send(http.MethodPost, "/nowhere/", nil, nil)
		return r.status == http.StatusNotFound
	})
	go func() {
		for {
			if r := f.send(http.MethodPost, "/advice/1", nil, strings.NewReader("x")); r.status == http.StatusOK {
				results <- r
				return
			}
		}
	}()
	f.until(func() bool { return len(f.arrivals()) > 0 })
	e3 := f.serve("e3", "advice", 2, 4, reset) // appears while the draft is stalled
	f.until(func() bool {
		f.orders.mu.Lock()
		defer f.orders.mu.Unlock()
		return len(f.orders.paths) > 0
	})
	close(resume)
	r := <-results
	is.NoErr(r.err)
	is.Equal(r.body, event(1)+event(2))
	f.orders.mu.Lock()
	defer f.orders.mu.Unlock()
	is.Equal(f.orders.paths[0][0].ID, "e1")
	is.Equal(f.orders.paths[0][1].Address, e3)
	is.True(!slices.Contains(f.arrivals(), "e2"))
}

func TestDisconnectedCallerClosesServerConnection(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	closed := make(chan struct{}, 8)
	f.serve("e1", "advice", 0, 4, func(c net.Conn, _ *http.Request) {
		streamHeader(c)
		chunk(c, event(1))
		_, _ = c.Read(make([]byte, 1))
		closed <- struct{}{}
	})
	var resp *http.Response
	f.until(func() bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.front.URL+"/advice/1", strings.NewReader("x"))
		is.NoErr(err)
		r.Host = "shop"
		r.Header.Set("Balsamlb-Request-Id", requestID)
		r.Header.Set("Api-Key", "key-1")
		resp, err = f.front.Client().Do(r)
		is.NoErr(err)
		return resp.StatusCode == http.StatusOK
	})
	_, err := io.ReadFull(resp.Body, make([]byte, len(event(1))))
	is.NoErr(err)
	_ = resp.Body.Close()
	<-closed
}

// A server that crashed may have run its draft, so the response must not say that it was not run.
func TestDraftLostInCrashIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	f.serve("e1", "advice", 0, 4, reset)
	for _, path := range []string{"/once/1", "/advice/1"} {
		before := len(f.arrivals())
		var r result
		f.until(func() bool {
			r = f.send(http.MethodPost, path, nil, strings.NewReader("x"))
			return len(f.arrivals()) > before
		})
		is.Equal(r.status, http.StatusBadGateway)
	}
}

// A silent server may still run its draft, so the draft waits for it until the deadline, and the
// response must not say that it was not run.
func TestDraftOfSilentServerIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	f.serve("e1", "advice", 0, 4, func(c net.Conn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) })
	f.orders.mu.Lock()
	f.orders.unreachable = true
	f.orders.mu.Unlock()
	for _, path := range []string{"/once/1", "/advice/1"} {
		before := len(f.arrivals())
		var r result
		f.until(func() bool {
			r = f.send(http.MethodPost, path, map[string]string{"Balsamlb-Deadline-Ms": "1500"}, strings.NewReader("x"))
			return len(f.arrivals()) > before
		})
		is.Equal(r.status, http.StatusGatewayTimeout)
	}
}

// A send that was refused before it left the gateway has reached no server, so it must not use up the
// retry budget.
func TestRefusedConnectionsDoNotUseUpTheRetryBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	for _, id := range []string{"e1", "e2", "e3"} {
		f.serveRefusing(id, "desk")
	}
	f.serve("e4", "desk", 0, 0, func(c net.Conn, _ *http.Request) { reply(c, http.StatusOK, "done") })
	f.until(func() bool { return len(f.mesh.Snapshot().Servers) == 4 })
	is.Equal(f.get("/check/1", nil).status, http.StatusOK)
}

// If a stream breaks before its first event, the retry must not ask the server to resume it: there
// is no last event.
func TestStreamBrokenBeforeFirstEventRestarts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	lastEvents := make(chan string, 8)
	var served atomic.Int64
	h := func(c net.Conn, r *http.Request) {
		lastEvents <- r.Header.Get("Last-Event-Id")
		streamHeader(c)
		if served.Add(1) == 1 {
			reset(c, nil)
			return
		}
		chunk(c, event(1))
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	f.serve("e1", "advice", 0, 4, h)
	f.serve("e2", "advice", 0, 4, h)
	var r result
	f.until(func() bool {
		r = f.send(http.MethodPost, "/advice/1", nil, strings.NewReader("x"))
		return len(f.arrivals()) >= 2
	})
	is.NoErr(r.err)
	is.Equal(r.body, event(1))
	is.Equal(<-lastEvents, "")
	is.Equal(<-lastEvents, "")
}

// If the known servers hold no complete copy of the model, the response says so and asks the caller
// to retry soon.
func TestDraftWithoutCompleteCopyIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	f.serve("e1", "advice", 0, 2, reset)
	r := f.send(http.MethodPost, "/advice/1", nil, strings.NewReader("x"))
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.header.Get("Retry-After"), "1.000")
	is.Equal(r.body, "no data centre holds a whole copy of the model\n")
	is.Equal(len(f.arrivals()), 0)
}

// A draft that can't be rerouted around an unresponsive server, here because the link to the other
// data centre is congested, is retried on another first server. Without the retry it would wait
// until its caller disconnects.
func TestDraftThatCannotBeReroutedIsRetried(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	resume := make(chan struct{})
	f.serve("e1", "advice", 0, 2, func(c net.Conn, _ *http.Request) {
		streamHeader(c)
		chunk(c, event(1))
		<-resume
		chunk(c, event(2))
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	e2 := f.serve("e2", "advice", 2, 4, reset)
	f.until(func() bool { return f.send(http.MethodPost, "/nowhere/", nil, nil).status == http.StatusNotFound })
	const drafts = 2
	results := make(chan result, drafts)
	for range drafts {
		go func() {
			for {
				if r := f.send(http.MethodPost, "/advice/1", nil, strings.NewReader("x")); r.status == http.StatusOK {
					results <- r
					return
				}
			}
		}()
	}
	f.until(func() bool { return len(f.arrivals()) >= drafts })
	lastEvent := make(chan string, drafts)
	f.serveIn("b", "f1", "advice", 0, 4, func(c net.Conn, r *http.Request) {
		lastEvent <- r.Header.Get("Last-Event-Id")
		streamHeader(c)
		chunk(c, event(2))
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	f.orders.mu.Lock()
	f.orders.stalled = e2
	f.orders.mu.Unlock()
	is.Equal((<-results).body, event(1)+event(2)) // this draft is retried on f1, while the other draft waits
	is.Equal(<-lastEvent, "1")
	f.orders.mu.Lock()
	is.Equal(len(f.orders.paths), 1) // the other draft was rerouted over the link
	f.orders.mu.Unlock()
	close(resume)
	is.Equal((<-results).body, event(1)+event(2))
}

// A server that crashed before this instance was started is silent, and no draft of this instance
// has failed on it. Only the first server's refusal shows that it is unreachable. The gateway must
// not keep choosing it.
func TestUnreachableSilentServerIsExcluded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	unreachable := closed.Addr().String()
	is.NoErr(closed.Close())
	var refused atomic.Int64
	f.serve("e1", "advice", 0, 2, func(c net.Conn, r *http.Request) {
		if strings.Contains(r.Header.Get("Balsamlb-Hop-Count"), unreachable) {
			refused.Add(1)
			notRun(c, http.StatusServiceUnavailable, unreachable)
			return
		}
		streamHeader(c)
		chunk(c, event(1))
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	f.mesh.Announce(time.Now(), discovery.Announcement{
		ID: "e2", Incarnation: 1, Sequence: 1, Service: "advice", Address: unreachable, DataCentre: "a",
		State: discovery.StateReady, Accelerator: "card", HasLayers: true, LayersFrom: 2, LayersTo: 4,
	})
	f.serve("e3", "advice", 2, 4, reset)
	later := time.Now().Add(time.Hour)
	is.Equal(len(f.mesh.Expire(later, later)), 3)
	f.publish() // once the gateway has the document, it also knows all three servers
	send := func() {
		is.Equal(f.send(http.MethodPost, "/advice/1", nil, strings.NewReader("x")).status, http.StatusOK)
	}
	f.until(func() bool {
		send()
		return refused.Load() > 0
	})
	time.Sleep(200 * time.Millisecond) // longer than the exclusion after a refusal
	send()
	is.Equal(refused.Load(), int64(1))
}

// Guards against a begun stream that spends its sends on refusals for lack of room within a fraction of a
// second, and is broken off although a server has room soon after.
func TestBegunStreamOutlastsRefusalsForLackOfRoom(t *testing.T) {
	const refusals = 8
	is := is.New(t)
	f := newFleet(t)
	f.publish()
	var sends atomic.Int64
	h := func(c net.Conn, r *http.Request) {
		switch n := sends.Add(1); {
		case n == 1:
			streamHeader(c)
			chunk(c, event(1))
			reset(c, nil)
		case n <= 1+refusals:
			notRun(c, http.StatusServiceUnavailable, "")
		default:
			streamHeader(c)
			if r.Header.Get("Last-Event-Id") == "1" {
				chunk(c, event(2))
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	}
	f.serve("e1", "advice", 0, 4, h)
	f.serve("e2", "advice", 0, 4, h)
	var r result
	f.until(func() bool {
		r = f.send(http.MethodPost, "/advice/1", nil, strings.NewReader("x"))
		return sends.Load() > 0
	})
	is.NoErr(r.err)
	is.Equal(r.body, event(1)+event(2))
	is.Equal(sends.Load(), int64(refusals+2))
}

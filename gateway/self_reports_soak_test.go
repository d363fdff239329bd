package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/matryer/is"
)

const (
	// reportSoakTime is the length of a run with faults.
	reportSoakTime = 4 * time.Second
	// reportCallers is the number of callers of each gateway and service.
	reportCallers = 4
)

// reportSoak is a set of backend servers before several gateways. The servers say that they leave and ask
// for pauses; gateways restart and are cut off from the control instances. Each server checks that no
// request reaches it that what it said forbids.
type reportSoak struct {
	t *testing.T

	mu       sync.Mutex
	servers  []*reportServer
	gateways []*reportGateway
	served   atomic.Int64
	// pauses and leaves count what servers have said to gateways, and violations what they forbid.
	pauses, leaves, violations atomic.Int64
}

// reportGateway is one gateway; a restart replaces its fleet.
type reportGateway struct {
	name  string
	fleet *fleet
	// starts counts the starts of the gateway.
	starts int
	isCut  bool
}

// reportServer is one backend server, which keeps its address and ID over restarts.
type reportServer struct {
	soak     *reportSoak
	id       string
	service  string
	from, to int
	address  string

	incarnation int64
	sequence    uint64
	isLeaving   bool
	isDraining  bool
	fullUntil   time.Time
	// said holds the pauses that this incarnation has asked for, by gateway and its start.
	said map[string][]*saidPause
	// passedOn holds when a caller received the first answer that says "leaving", by gateway and start.
	passedOn map[string]time.Time
}

// saidPause is one answer 503 with Retry-After.
type saidPause struct {
	from, until time.Time
	arrivals    int
}

func (s *reportSoak) addServer(id, service string, from, to int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	r := &reportServer{
		soak: s, id: id, service: service, from: from, to: to, address: l.Addr().String(), incarnation: 1,
		said: make(map[string][]*saidPause), passedOn: make(map[string]time.Time),
	}
	s.servers = append(s.servers, r)
	f := &fleet{t: s.t}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveConn(id, c, r.handle)
		}
	}()
}

// announce announces the server to the gateways that are not cut off. soak.mu is held.
func (r *reportServer) announce() {
	r.sequence++
	for _, g := range r.soak.gateways {
		if !g.isCut {
			g.fleet.mesh.Announce(time.Now(), r.announcement())
		}
	}
}

func (r *reportServer) announcement() discovery.Announcement {
	a := discovery.Announcement{
		ID: r.id, Incarnation: r.incarnation, Sequence: r.sequence, Service: r.service, Address: r.address, DataCentre: "a",
		State: discovery.StateReady, Slots: 4, Accelerator: "card", HasLayers: r.to > 0, LayersFrom: r.from, LayersTo: r.to,
	}
	if r.isDraining {
		a.State = discovery.StateDraining
	}
	return a
}

// handle checks and answers one request.
func (r *reportServer) handle(c net.Conn, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	s := r.soak
	s.mu.Lock()
	now := time.Now()
	from := q.Header.Get("X-From")
	nanos, _ := strconv.ParseInt(q.Header.Get("X-Sent"), 10, 64)
	for _, p := range s.servers {
		if p == r || strings.Contains(q.Header.Get("Balsamlb-Hop-Count"), p.address+"=") {
			p.check(now, from, time.Unix(0, nanos))
		}
	}
	lines := fmt.Sprintf("X-Server: %s/%d\r\n", r.id, r.incarnation)
	if r.isLeaving {
		s.leaves.Add(1)
		lines += leavingLine
	}
	pause := r.fullUntil.Sub(now)
	if pause > 0 {
		s.pauses.Add(1)
		r.said[from] = append(r.said[from], &saidPause{from: now.Add(500 * time.Millisecond), until: now.Add(pause)})
	}
	s.mu.Unlock()
	switch {
	case pause > 0:
		fmt.Fprintf(c, "HTTP/1.1 503 Status\r\nBalsamlb-Request-Id: req-1\r\nBalsamlb-Not-Executed: 1\r\n%sRetry-After: %.6f\r\nContent-Length: 0\r\n\r\n", lines, pause.Seconds())
	case r.to == 0:
		answer(c, 200, lines, "served")
	default:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: req-1\r\nBalsamlb-Response-Stamp: s1\r\n"+lines+
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		wholeStream(c, 0, 2)
	}
}

// check records that a request of a gateway's start reaches the server. soak.mu is held.
func (r *reportServer) check(now time.Time, from string, sent time.Time) {
	for _, p := range r.said[from] {
		if !now.After(p.from) || !now.Before(p.until) {
			continue
		}
		if p.arrivals++; p.arrivals > 2 {
			r.soak.violations.Add(1)
			r.soak.t.Errorf("%s: request %d of %s reaches it %v before the end of a pause", r.id, p.arrivals, from, p.until.Sub(now))
		}
	}
	if at, ok := r.passedOn[from]; ok && sent.After(at) {
		r.soak.violations.Add(1)
		r.soak.t.Errorf("%s: a request of %s reaches it that was sent %v after the answer that it leaves", r.id, from, sent.Sub(at))
	}
}

// recordPassedOn records that a caller has received an answer that says that its server leaves.
func (s *reportSoak) recordPassedOn(from string, h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.servers {
		if h.Get("X-Server") == fmt.Sprintf("%s/%d", r.id, r.incarnation) && r.passedOn[from].IsZero() {
			r.passedOn[from] = time.Now()
		}
	}
}

// addGateway starts a gateway that knows all servers.
func (s *reportSoak) addGateway() {
	g := &reportGateway{name: fmt.Sprint("g", len(s.gateways))}
	s.start(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateways = append(s.gateways, g)
}

// start starts a gateway without any memory.
func (s *reportSoak) start(g *reportGateway) {
	f := newFleet(s.t)
	s.mu.Lock()
	for _, r := range s.servers {
		f.mesh.Announce(time.Now(), r.announcement())
	}
	s.mu.Unlock()
	f.publish()
	s.mu.Lock()
	defer s.mu.Unlock()
	g.fleet, g.isCut = f, false
	g.starts++
	for _, r := range s.servers { // what has changed meanwhile
		f.mesh.Announce(time.Now(), r.announcement())
	}
}

// call sends requests to a gateway until the channel is closed.
func (s *reportSoak) call(g *reportGateway, path string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		s.mu.Lock()
		f, from := g.fleet, fmt.Sprint(g.name, "/", g.starts)
		s.mu.Unlock()
		r := f.get(path, map[string]string{"X-From": from, "X-Sent": strconv.FormatInt(time.Now().UnixNano(), 10)})
		if r.header.Get("Server-Leaving") != "" {
			s.recordPassedOn(from, r.header)
		}
		if r.status == http.StatusOK && r.err == nil {
			s.served.Add(1)
		}
	}
}

// disturb makes a random server or gateway do something.
func (s *reportSoak) disturb(random *rand.Rand) {
	kind := random.IntN(10)
	if kind == 0 {
		s.start(s.gateways[random.IntN(len(s.gateways))])
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, g := s.servers[random.IntN(len(s.servers))], s.gateways[random.IntN(len(s.gateways))]
	switch {
	case kind == 1:
		g.isCut = true
	case kind == 2:
		g.isCut = false
		for _, r := range s.servers {
			g.fleet.mesh.Announce(time.Now(), r.announcement())
		}
	case kind < 6:
		r.fullUntil = time.Now().Add(time.Duration(100+random.IntN(1900)) * time.Millisecond)
	case !r.isLeaving:
		r.isLeaving = true
	case !r.isDraining:
		r.isDraining = true
		r.announce()
	default: // it has ended, and starts again under the same ID and address
		r.restart()
	}
}

// restart starts a new incarnation. soak.mu is held.
func (r *reportServer) restart() {
	r.incarnation++
	r.isLeaving, r.isDraining, r.fullUntil = false, false, time.Time{}
	r.said, r.passedOn = make(map[string][]*saidPause), make(map[string]time.Time)
	r.announce()
}

func runReportSoak(t *testing.T, seed uint64) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 3))
	s := &reportSoak{t: t}
	for i := range 3 {
		s.addServer(fmt.Sprint("desk", i), "desk", 0, 0)
		s.addServer(fmt.Sprint("whole", i), "advice", 0, 4)
		s.addServer(fmt.Sprint("front", i), "advice", 0, 2)
		s.addServer(fmt.Sprint("rest", i), "advice", 2, 4)
	}
	for range 3 {
		s.addGateway()
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, g := range s.gateways {
		for _, path := range []string{"/check/", "/hold/", "/advice/", "/once/"} {
			for range reportCallers {
				group.Go(func() { s.call(g, path, stop) })
			}
		}
	}
	for until := time.Now().Add(reportSoakTime); time.Now().Before(until); {
		s.disturb(random)
		time.Sleep(time.Duration(10+random.IntN(60)) * time.Millisecond)
	}
	close(stop)
	group.Wait()
	t.Logf("seed %d: served %d; 'leaving' said %d times, pauses %d; forbidden requests %d", seed, s.served.Load(), s.leaves.Load(), s.pauses.Load(), s.violations.Load())
	is.True(s.leaves.Load() > 0)
	is.True(s.pauses.Load() > 0)
	// Every gateway serves both services again once the servers have been restarted.
	s.mu.Lock()
	for _, g := range s.gateways {
		g.isCut = false
	}
	for _, r := range s.servers {
		r.restart()
	}
	s.mu.Unlock()
	for _, g := range s.gateways {
		for _, path := range []string{"/check/", "/advice/"} {
			g.fleet.until(func() bool { return g.fleet.get(path, map[string]string{"X-From": "end"}).status == http.StatusOK })
		}
	}
}

// Guards against requests that a server's own word forbids (DRAIN, BUDGET), beside restarts and cuts of
// gateways and restarts of servers. BALSAMLB_SOAK_SEEDS is the number of seeds.
func TestSoakOfServersThatReportAboutThemselves(t *testing.T) {
	seeds := 2
	if n, err := strconv.Atoi(os.Getenv(soakSeedVar)); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runReportSoak(t, uint64(seed)) })
	}
}

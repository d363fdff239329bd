package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
)

// crashPart is the part of a draft's path whose server a crashing request crashes.
type crashPart int

const (
	firstPart crashPart = iota
	middlePart
	lastPart
)

// crashKind describes how crashing requests crash servers in a crashFleet.
type crashKind struct {
	part crashPart
	// afterFirstEvent means that the crash happens after the first event of a stream.
	afterFirstEvent bool
	// silent means that the server keeps its connections open and never answers again. Otherwise
	// it resets them and refuses new ones.
	silent bool
	// stays means that the server never returns. Otherwise it returns after downtime.
	stays bool
	// looksComplete means that answers end with their connection, and that a crash closes connections
	// as if the answers were complete.
	looksComplete bool
}

// crashingPrefix begins the bodies of requests that crash each server that runs them.
const crashingPrefix = "crash"

// downtime is how long a crashed server is gone.
const downtime = 150 * time.Millisecond

// crashFleet is a set of fake backend servers that some requests crash. It also implements
// gateway.Orders for these servers. It is safe for concurrent use.
type crashFleet struct {
	t    *testing.T
	kind crashKind
	// ip is used by this fleet alone, so that nothing else takes the port of a server that is down.
	ip       string
	announce func(discovery.Announcement)

	mu      sync.Mutex
	servers map[string]*crashServer // by address
	runs    map[string]*fleetRun    // by request ID
	// crashingParts holds the IDs of prompt parts that crash the servers that run them.
	crashingParts map[string]bool
	// arrivals counts the requests that reached a server, and reroutes the changes of their paths,
	// by body and by crashing part. crashes counts the crashes by the body of the request that caused
	// them and by its crashing part.
	arrivals map[string]int
	reroutes map[string]int
	crashes  map[string]int
	// ran counts the runs by request ID.
	ran    map[string]int
	starts int64
	// limit is the requests a second that each server names as its limit; 0 means none. received holds
	// when requests reached each server, by address.
	limit    float64
	received map[string][]time.Time
}

// crashServer is one server, which keeps its address over restarts.
type crashServer struct {
	fleet      *crashFleet
	address    string
	service    string
	centre     string
	release    string
	from, to   int
	id         string
	born       int64
	sequence   uint64
	isUp       bool
	isSilent   bool
	isDraining bool
	listener   net.Listener
	conns      map[net.Conn]struct{}
}

// fleetRun is a draft that runs on a path.
type fleetRun struct {
	body string
	// part is the part of the prompt that crashes servers, or "".
	part string
	path []string // addresses
	// ids are the IDs of the servers when the path began to be used: a server that was restarted
	// has lost the draft.
	ids []string
	// stalledBy is the address of the server that the draft waits for, or "".
	stalledBy string
}

// fleetCount is the number of fleets so far.
var fleetCount atomic.Int64

func newCrashFleet(t *testing.T, kind crashKind) *crashFleet {
	n := fleetCount.Add(1)
	f := &crashFleet{
		t: t, kind: kind, ip: fmt.Sprintf("127.0.%d.%d", 100+n/250, 1+n%250), announce: func(discovery.Announcement) {},
		servers: make(map[string]*crashServer), runs: make(map[string]*fleetRun),
		arrivals: make(map[string]int), reroutes: make(map[string]int), crashes: make(map[string]int),
		ran: make(map[string]int), crashingParts: make(map[string]bool), received: make(map[string][]time.Time),
	}
	done := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(announceInterval):
				f.announceAll()
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, s := range f.servers {
			s.stop()
		}
	})
	return f
}

// announceInterval is the time between two announcements of a server.
const announceInterval = 50 * time.Millisecond

func (f *crashFleet) announceAll() {
	f.mu.Lock()
	var all []discovery.Announcement
	for _, s := range f.servers {
		if s.isUp && !s.isSilent {
			all = append(all, s.announcement())
		}
	}
	f.mu.Unlock()
	for _, a := range all {
		f.announce(a)
	}
}

// add starts a server. For a plain service, to is 0.
func (f *crashFleet) add(centre, service string, from, to int) *crashServer {
	f.t.Helper()
	l, err := net.Listen("tcp", f.ip+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &crashServer{fleet: f, address: l.Addr().String(), service: service, centre: centre, release: "v1", from: from, to: to, conns: make(map[net.Conn]struct{})}
	f.mu.Lock()
	f.servers[s.address] = s
	s.start(l)
	a := s.announcement()
	f.mu.Unlock()
	f.announce(a)
	return s
}

// addAll starts count servers with the same layers.
func (f *crashFleet) addAll(count int, service string, from, to int) []*crashServer {
	var out []*crashServer
	for range count {
		out = append(out, f.add("a", service, from, to))
	}
	return out
}

// start begins a new incarnation of the server. The caller holds the fleet's lock.
func (s *crashServer) start(l net.Listener) {
	s.fleet.starts++
	s.id = fmt.Sprintf("s%d", s.fleet.starts)
	s.born = s.fleet.starts
	s.sequence = 0
	s.isUp, s.isSilent = true, false
	s.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
}

// stop closes the listener and resets the connections. The caller holds the fleet's lock.
func (s *crashServer) stop() {
	s.isUp = false
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		if s.fleet.kind.looksComplete {
			_ = c.Close()
			continue
		}
		reset(c, nil)
	}
	clear(s.conns)
}

// announcement returns the next announcement. The caller holds the fleet's lock.
func (s *crashServer) announcement() discovery.Announcement {
	s.sequence++
	a := discovery.Announcement{
		ID: s.id, Incarnation: s.born, Sequence: s.sequence, Service: s.service, Address: s.address, DataCentre: s.centre, Release: s.release,
		State: discovery.StateReady, Slots: 64, Accelerator: "card", HasLayers: s.to > 0, LayersFrom: s.from, LayersTo: s.to,
	}
	if s.isDraining {
		a.State = discovery.StateDraining
	}
	return a
}

// crash ends this incarnation of the server. Unless the fleet's servers stay away, it returns after
// downtime.
func (s *crashServer) crash() {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.isUp || s.isSilent {
		return
	}
	if f.kind.silent {
		s.isSilent = true
	} else {
		s.stop()
	}
	if !f.kind.stays {
		time.AfterFunc(downtime, s.restart)
	}
}

// restart begins a new incarnation of the server at its address.
func (s *crashServer) restart() {
	f := s.fleet
	f.mu.Lock()
	if f.t.Context().Err() != nil {
		f.mu.Unlock()
		return
	}
	s.stop()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		f.mu.Unlock()
		f.t.Errorf("restart %s: %v", s.address, err)
		return
	}
	s.isDraining = false
	s.start(l)
	a := s.announcement()
	f.mu.Unlock()
	f.announce(a)
}

// freeze makes the server silent, and thaws it after a time: the same incarnation goes on.
func (s *crashServer) freeze(d time.Duration) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s.isSilent = true
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.isSilent = false
	})
}

// count returns how often requests with the body or the crashing part reached servers, by request or by reroute, and how
// many servers they crashed.
func (f *crashFleet) count(body string) (sends, crashes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrivals[body] + f.reroutes[body], f.crashes[body]
}

// runCount returns how often the request with the ID has run.
func (f *crashFleet) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

func (s *crashServer) serve(c net.Conn) {
	s.fleet.mu.Lock()
	s.conns[c] = struct{}{}
	s.fleet.mu.Unlock()
	defer func() {
		s.fleet.mu.Lock()
		delete(s.conns, c)
		s.fleet.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if s.isGone() {
			<-s.fleet.t.Context().Done()
			return
		}
		if expected := r.Header.Get("Balsamlb-Expect-Instance"); expected != s.currentID() {
			notRun(c, http.StatusMisdirectedRequest, "")
			continue
		}
		s.fleet.recordReceived(s.address)
		if s.to > 0 {
			s.fleet.runDraft(s, c, r, string(body))
			continue
		}
		s.fleet.runCall(s, c, r, string(body))
	}
}

func (s *crashServer) currentID() string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.id
}

func (s *crashServer) isGone() bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return !s.isUp || s.isSilent
}

// runCall runs a request for a plain service.
func (f *crashFleet) runCall(s *crashServer, c net.Conn, r *http.Request, body string) {
	f.mu.Lock()
	f.arrivals[body]++
	f.ran[r.Header.Get("Balsamlb-Request-Id")]++
	f.mu.Unlock()
	if strings.HasPrefix(body, crashingPrefix) {
		f.crashBy(s.address, body)
		return
	}
	id := r.Header.Get("Balsamlb-Request-Id")
	if strings.HasPrefix(body, "slow") && !f.wait(s, slowSteps) {
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: %s\r\nBalsamlb-Response-Stamp: s\r\n%sContent-Length: 4\r\n\r\ndone", id, f.limitHeader())
}

const (
	// step is the time between two events of a stream.
	step = 5 * time.Millisecond
	// events is the number of events of a stream; slowSteps is that of requests whose body starts
	// with "slow".
	events    = 4
	slowSteps = 60
)

// wait waits some steps and returns false if the server has gone in the meantime.
func (f *crashFleet) wait(s *crashServer, steps int) bool {
	for range steps {
		time.Sleep(step)
		if s.isGone() {
			return false
		}
	}
	return true
}

// crashBy crashes the server at the address for a request with the body.
func (f *crashFleet) crashBy(address string, causes ...string) {
	f.mu.Lock()
	s := f.servers[address]
	if s == nil || !s.isUp || s.isSilent {
		f.mu.Unlock()
		return
	}
	countEach(f.crashes, causes)
	f.mu.Unlock()
	s.crash()
}

// countEach adds one to the count of each key that isn't empty.
func countEach(counts map[string]int, keys []string) {
	for _, key := range keys {
		if key != "" {
			counts[key]++
		}
	}
}

// crashingPart returns the part of the request's prompt that crashes servers, or "". The last part
// belongs to the request alone. The caller holds the lock.
func (f *crashFleet) crashingPart(prefix string) string {
	parts := strings.Split(prefix, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); f.crashingParts[id] {
			return id
		}
	}
	return ""
}

// runDraft runs a draft as the first server of its path: it sends the events, crashes a server of
// the path if the body says so, and waits for a reroute when a later server has gone.
func (f *crashFleet) runDraft(s *crashServer, c net.Conn, r *http.Request, body string) {
	run := &fleetRun{body: body, path: pathAddresses(r.Header.Get("Balsamlb-Hop-Count"), s.address)}
	id := r.Header.Get("Balsamlb-Request-Id")
	f.mu.Lock()
	run.part = f.crashingPart(r.Header.Get("Balsamlb-Prompt-Prefix"))
	countEach(f.arrivals, []string{body, run.part})
	f.ran[id]++
	run.ids = f.idsOf(run.path)
	f.runs[id] = run
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.runs, id)
	}()
	next := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &next)
		next++
	}
	count := events
	if strings.HasPrefix(body, "slow") {
		count = slowSteps
	}
	isStarted := false
	send := func() {
		if f.kind.looksComplete {
			if !isStarted {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: %s\r\nBalsamlb-Response-Stamp: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id)
				isStarted = true
			}
			_, _ = io.WriteString(c, event(next))
			next++
			return
		}
		if !isStarted {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: %s\r\nBalsamlb-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n%sTransfer-Encoding: chunked\r\n\r\n", id, f.limitHeader())
			isStarted = true
		}
		chunk(c, event(next))
		next++
	}
	for next <= count {
		time.Sleep(step)
		if s.isGone() {
			return
		}
		if f.isStalled(run) {
			continue
		}
		if victim := f.victim(run); victim != "" && (!f.kind.afterFirstEvent || isStarted) {
			f.crashBy(victim, body, run.part)
			if victim == s.address {
				<-f.t.Context().Done()
				return
			}
			continue
		}
		send()
	}
	if f.kind.looksComplete {
		_ = c.Close()
		return
	}
	if !isStarted { // resumed after its last event
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: %s\r\nBalsamlb-Response-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// victim returns the address of the server that the run crashes, or "".
func (f *crashFleet) victim(run *fleetRun) string {
	if !strings.HasPrefix(run.body, crashingPrefix) && run.part == "" {
		return ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.kind.part {
	case middlePart:
		return run.path[len(run.path)/2]
	case lastPart:
		return run.path[len(run.path)-1]
	default:
		return run.path[0]
	}
}

// isStalled reports whether a later server of the run's path has gone, and records which.
func (f *crashFleet) isStalled(run *fleetRun) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	run.stalledBy = ""
	for i, address := range run.path[1:] {
		if s := f.servers[address]; s == nil || !s.isUp || s.isSilent || s.id != run.ids[i+1] {
			run.stalledBy = address
			return true
		}
	}
	return false
}

// idsOf returns the IDs of the servers at the addresses. The caller holds the lock.
func (f *crashFleet) idsOf(addresses []string) []string {
	var out []string
	for _, a := range addresses {
		id := ""
		if s := f.servers[a]; s != nil {
			id = s.id
		}
		out = append(out, id)
	}
	return out
}

// pathAddresses returns the addresses of a path header, or only head if the header is empty.
func pathAddresses(header, head string) []string {
	if header == "" {
		return []string{head}
	}
	var out []string
	for _, part := range strings.Split(header, ",") {
		address, _, _ := strings.Cut(part, "=")
		out = append(out, address)
	}
	return out
}

var errServerGone = errors.New("the server has gone")

// StallingServers implements gateway.Orders.
func (f *crashFleet) StallingServers(_ context.Context, head string) (map[string]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[head]; s == nil || !s.isUp || s.isSilent {
		return nil, errServerGone
	}
	out := make(map[string]string)
	for id, run := range f.runs {
		if run.stalledBy != "" && run.path[0] == head {
			out[id] = run.stalledBy
		}
	}
	return out, nil
}

// Reroute implements gateway.Orders.
func (f *crashFleet) Reroute(_ context.Context, head, request string, p layers.Path, _ uint64) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run := f.runs[request]
	if run == nil || run.path[0] != head {
		return "", errServerGone
	}
	var path []string
	for _, part := range p {
		if s := f.servers[part.Address]; s == nil || !s.isUp || s.isSilent {
			return part.Address, errServerGone
		}
		path = append(path, part.Address)
	}
	ids := f.idsOf(path)
	if !slices.Equal(ids, run.ids) {
		countEach(f.reroutes, []string{run.body, run.part})
	}
	run.path, run.ids = path, ids
	return "", nil
}

package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
)

// silence describes what a silent server no longer does. In every kind its runs stand still, and
// they go on when the silence ends.
type silence int

const (
	// speaking servers are not silent.
	speaking silence = iota
	// silentRuns means that only the runs stand still: the server takes requests, answers queries
	// and announces itself.
	silentRuns
	// silentServer means that the process stands still while the kernel accepts connections.
	silentServer
	// silentLink means that the kernel accepts no connections either.
	silentLink
)

func (k silence) String() string {
	return [...]string{"speaking", "silent runs", "silent server", "silent link"}[k]
}

// forGood is longer than any test.
const forGood = time.Hour

// silenceFleet is a set of fake backend servers that fall silent and go on with what they were
// running. It also implements gateway.Orders. It is safe for concurrent use.
type silenceFleet struct {
	t        *testing.T
	network  network
	ip       string
	announce func(discovery.Announcement)
	ctx      context.Context

	mu      sync.Mutex
	servers []*silentlyServer
	runs    []*silentRun
	starts  int64
	// crashed holds the IDs of the incarnations that have crashed.
	crashed map[string]bool
	// onProgress is called for each run before its first event and after each event.
	onProgress func(run *silentRun)
	// refusals is the number of requests that servers refuse next, as if their memory were full.
	refusals int
	// closesConns means that servers close each connection after an answer. It is set before the first one.
	closesConns bool
	// status is what a stream is answered with instead of events, if it is not 0.
	status int
}

// silentlyServer is one server of a silenceFleet. The fleet's lock guards its fields.
type silentlyServer struct {
	fleet    *silenceFleet
	address  string
	service  string
	from, to int
	id       string
	born     int64
	sequence uint64
	isUp     bool
	leaves   bool
	// saysLeaving means that answers say that the server leaves, which it doesn't announce.
	saysLeaving atomic.Bool
	silence     silence
	until       time.Time
	spokeAt     time.Time
	listener    net.Listener
	// spoke is closed when the silence or the incarnation ends.
	spoke chan struct{}
	conns map[net.Conn]struct{}
	// isStopped means that the kernel accepts no connections; fill are those that fill its queue.
	isStopped bool
	fill      []net.Conn
}

// silentRun is one run of a request, or a request that has not begun to run. The fleet's lock guards its fields, except request, body and
// server.
type silentRun struct {
	request string
	body    string
	server  *silentlyServer
	born    int64
	path    []*silentlyServer
	births  []int64
	sent    int
	sentAt  []time.Time
	stalled string
	arrived time.Time
	began   time.Time
	ended   time.Time
	// isComplete means that the server sent its whole answer, and isCrashed that its incarnation, or
	// that of a later server of its path, ended before.
	isComplete bool
	isCrashed  bool
}

// newLoopback returns a loopback address that nothing else uses.
func newLoopback() string {
	n := fleetCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n/250, 1+n%250)
}

func newSilenceFleet(t *testing.T, n network) *silenceFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &silenceFleet{
		t: t, network: n, ip: newLoopback(), ctx: ctx, crashed: make(map[string]bool),
		announce: func(discovery.Announcement) {}, onProgress: func(*silentRun) {},
	}
	var group sync.WaitGroup
	group.Go(func() {
		for ctx.Err() == nil {
			f.announceAll()
			select {
			case <-ctx.Done():
			case <-time.After(announceInterval):
			}
		}
	})
	t.Cleanup(func() {
		cancel()
		group.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, s := range f.servers {
			s.stop()
		}
	})
	return f
}

func (f *silenceFleet) announceAll() {
	f.mu.Lock()
	var all []discovery.Announcement
	for _, s := range f.servers {
		if s.isUp && s.silence < silentServer {
			all = append(all, s.announcement())
		}
	}
	f.mu.Unlock()
	for _, a := range all {
		f.announce(a)
	}
}

// add starts a server. For a plain service, to is 0.
func (f *silenceFleet) add(service string, from, to int) *silentlyServer {
	f.t.Helper()
	l, err := f.network.listen(f.ip + ":0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &silentlyServer{fleet: f, address: l.Addr().String(), service: service, from: from, to: to, conns: make(map[net.Conn]struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = append(f.servers, s)
	s.start(l)
	return s
}

// addCopies starts count copies of a model that is spread over three servers.
func (f *silenceFleet) addCopies(count int) (copies [][]*silentlyServer) {
	for range count {
		copies = append(copies, []*silentlyServer{f.add("advice", 0, 2), f.add("advice", 2, 3), f.add("advice", 3, 4)})
	}
	return copies
}

// start begins a new incarnation. The caller holds the fleet's lock.
func (s *silentlyServer) start(l net.Listener) {
	s.fleet.starts++
	s.id, s.born, s.sequence = fmt.Sprintf("s%d", s.fleet.starts), s.fleet.starts, 0
	s.isUp, s.silence, s.listener = true, speaking, l
	s.spoke = make(chan struct{})
	go s.accept(l)
}

func (s *silentlyServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			s.awaitSpeech(silentLink)
			continue
		}
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// stop ends the incarnation. The caller holds the fleet's lock.
func (s *silentlyServer) stop() {
	if !s.isUp {
		return
	}
	s.isUp = false
	s.speak()
	close(s.spoke)
	_ = s.listener.Close()
	for c := range s.conns {
		reset(c, nil)
	}
	clear(s.conns)
}

// crash ends the incarnation at once; another begins after the time.
func (s *silentlyServer) crash(back time.Duration) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.isUp {
		return
	}
	f.crashed[s.id] = true
	for _, r := range f.runs {
		if !r.ended.IsZero() {
			continue
		}
		for i, part := range r.path {
			if part == s && r.births[i] == s.born {
				r.isCrashed = true
			}
		}
	}
	s.stop()
	time.AfterFunc(back, s.restart)
}

func (s *silentlyServer) restart() {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() != nil {
		return
	}
	l, err := f.network.listen(s.address)
	if err != nil {
		f.t.Errorf("restart %s: %v", s.address, err)
		return
	}
	s.start(l)
}

// fallSilent makes the server silent for a time. A server that is already silent goes on when the
// later of the silences ends.
func (s *silentlyServer) fallSilent(kind silence, d time.Duration) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if !s.isUp {
		return
	}
	if until := time.Now().Add(d); until.After(s.until) || s.silence == speaking {
		s.until = until
	}
	s.silence = max(s.silence, kind)
	if s.silence == silentLink && !s.isStopped {
		s.stopAccepting()
	}
	born := s.born
	time.AfterFunc(d, func() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		if s.born == born && s.isUp && s.silence != speaking && !time.Now().Before(s.until) {
			s.speak()
		}
	})
}

// stopAccepting fills the listener's queue, so that the kernel drops further connections.
func (s *silentlyServer) stopAccepting() {
	s.isStopped = true
	_ = s.socket().SetDeadline(time.Unix(1, 0))
	s.setBacklog(0)
	for range 4 {
		c, err := net.DialTimeout("tcp", s.address, 5*time.Millisecond)
		if err != nil {
			break
		}
		s.fill = append(s.fill, c)
	}
}

// socket returns the listener of a server on the machine's loopback interface; only there can a link be silent.
func (s *silentlyServer) socket() *net.TCPListener { return s.listener.(*net.TCPListener) }

func (s *silentlyServer) setBacklog(n int) {
	raw, err := s.socket().SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
	if err != nil {
		s.fleet.t.Error(err)
	}
}

// speak ends the silence. The caller holds the fleet's lock.
func (s *silentlyServer) speak() {
	for _, c := range s.fill {
		_ = c.Close()
	}
	if s.isStopped && s.isUp {
		s.setBacklog(128)
		_ = s.socket().SetDeadline(time.Time{})
	}
	s.fill, s.isStopped = nil, false
	s.silence, s.spokeAt = speaking, time.Now()
	if s.isUp {
		close(s.spoke)
		s.spoke = make(chan struct{})
	}
}

// awaitSpeech waits until the server's silence is of a lesser kind, or the fleet ends.
func (s *silentlyServer) awaitSpeech(kind silence) {
	for {
		s.fleet.mu.Lock()
		isSilent, spoke := s.isUp && s.silence >= kind, s.spoke
		s.fleet.mu.Unlock()
		if !isSilent {
			return
		}
		select {
		case <-spoke:
		case <-s.fleet.ctx.Done():
			return
		}
	}
}

// announcement returns the next announcement. The caller holds the fleet's lock.
func (s *silentlyServer) announcement() discovery.Announcement {
	s.sequence++
	a := discovery.Announcement{
		ID: s.id, Incarnation: s.born, Sequence: s.sequence, Service: s.service, Address: s.address, DataCentre: "a", Release: "v1",
		State: discovery.StateReady, Slots: 64, Accelerator: "card", HasLayers: s.to > 0, LayersFrom: s.from, LayersTo: s.to,
	}
	if s.leaves {
		a.State = discovery.StateDraining
	}
	return a
}

// drain makes the server announce that it is leaving; it completes what it runs.
func (s *silentlyServer) drain() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.leaves = true
}

func (s *silentlyServer) serve(c net.Conn) {
	f := s.fleet
	f.mu.Lock()
	s.conns[c] = struct{}{}
	born := s.born
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(s.conns, c)
		f.mu.Unlock()
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
		run := &silentRun{request: r.Header.Get("Balsamlb-Request-Id"), body: string(body), server: s, born: born, path: []*silentlyServer{s}, births: []int64{born}, arrived: time.Now()}
		f.mu.Lock()
		f.runs = append(f.runs, run)
		f.mu.Unlock()
		s.awaitSpeech(silentServer)
		f.mu.Lock()
		id, isThis, refuses := s.id, s.isUp && s.born == born, f.refusals > 0
		if id != r.Header.Get("Balsamlb-Expect-Instance") || isThis && refuses {
			run.ended = time.Now()
		}
		if isThis && refuses {
			f.refusals--
		}
		f.mu.Unlock()
		if !isThis {
			return
		}
		if refuses {
			notRun(c, http.StatusServiceUnavailable, "")
			continue
		}
		if r.Header.Get("Balsamlb-Expect-Instance") != id {
			notRun(c, http.StatusMisdirectedRequest, "")
			continue
		}
		closed := make(chan struct{})
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := br.Peek(1); err != nil {
				close(closed)
			}
		}()
		f.run(run, c, r, closed)
		if f.closesConns {
			return
		}
		<-peeked
	}
}

// run runs a request until its answer is complete, its connection is closed or its server crashes.
func (f *silenceFleet) run(run *silentRun, c net.Conn, r *http.Request, closed <-chan struct{}) {
	s := run.server
	f.mu.Lock()
	run.began = time.Now()
	if hops := r.Header.Get("Balsamlb-Hop-Count"); hops != "" {
		run.path = f.at(pathAddresses(hops, s.address))
	}
	run.births = births(run.path)
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &run.sent)
	}
	progress, status := f.onProgress, f.status
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		run.ended = time.Now()
	}()
	progress(run)
	if s.to == 0 {
		if f.advance(run, closed) {
			f.complete(run)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: %s\r\nBalsamlb-Response-Stamp: s\r\n%sContent-Length: 4\r\n\r\ndone", run.request, s.extraHeader())
		}
		return
	}
	if status != 0 {
		if f.advance(run, closed) {
			f.complete(run)
			fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nBalsamlb-Request-Id: %s\r\nBalsamlb-Response-Stamp: s\r\nContent-Length: 0\r\n\r\n", status, run.request)
		}
		return
	}
	isStarted := false
	for run.sent < silenceEvents {
		if !f.advance(run, closed) {
			return
		}
		if !isStarted {
			isStarted = true
			s.startStream(c, run.request)
		}
		f.mu.Lock()
		run.sent++
		run.sentAt = append(run.sentAt, time.Now())
		f.mu.Unlock()
		chunk(c, event(run.sent))
		progress(run)
	}
	if !isStarted {
		s.startStream(c, run.request)
	}
	f.complete(run)
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

func (s *silentlyServer) startStream(c net.Conn, request string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBalsamlb-Request-Id: %s\r\nBalsamlb-Response-Stamp: s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		request, s.extraHeader())
}

// extraHeader returns the lines that a server adds to the headers of its answers.
func (s *silentlyServer) extraHeader() (lines string) {
	if s.fleet.closesConns {
		lines = "Connection: close\r\n"
	}
	if s.saysLeaving.Load() {
		lines += leavingLine
	}
	return lines
}

// silenceEvents is the number of events of a stream.
const silenceEvents = 8

// at returns the servers at the addresses. The caller holds the lock.
func (f *silenceFleet) at(addresses []string) []*silentlyServer {
	var out []*silentlyServer
	for _, address := range addresses {
		for _, s := range f.servers {
			if s.address == address {
				out = append(out, s)
			}
		}
	}
	return out
}

func births(path []*silentlyServer) []int64 {
	var out []int64
	for _, s := range path {
		out = append(out, s.born)
	}
	return out
}

func (f *silenceFleet) complete(run *silentRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run.isComplete = true
}

// advance waits for the next event of a run. It returns false if the connection was closed or the
// server has crashed.
func (f *silenceFleet) advance(run *silentRun, closed <-chan struct{}) bool {
	time.Sleep(step)
	for {
		f.mu.Lock()
		isHere, waits := f.progressOf(run)
		isStandingStill := run.server.silence >= silentServer
		f.mu.Unlock()
		if !isHere {
			return false
		}
		if !isStandingStill { // otherwise it doesn't notice that the connection was closed
			select {
			case <-closed:
				return false
			default:
			}
		}
		if waits == nil {
			return true
		}
		select {
		case <-f.ctx.Done():
			return false
		case <-time.After(step):
		}
	}
}

// progressOf returns the server of its path that a run waits for, or nil. isHere is false if the
// run's first server has crashed. The caller holds the lock.
func (f *silenceFleet) progressOf(run *silentRun) (isHere bool, waits *silentlyServer) {
	if s := run.server; !s.isUp || s.born != run.born {
		return false, nil
	}
	if run.server.silence != speaking {
		return true, run.server
	}
	run.stalled = ""
	for i, part := range run.path[1:] {
		if !part.isUp || part.born != run.births[i+1] || part.silence != speaking {
			run.stalled = part.address
			return true, part
		}
	}
	return true, nil
}

// StallingServers implements gateway.Orders. A query to a silent server waits.
func (f *silenceFleet) StallingServers(ctx context.Context, head string) (map[string]string, error) {
	if err := f.awaitAnswer(ctx, head); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]string)
	for _, r := range f.runs {
		if r.ended.IsZero() && r.stalled != "" && r.server.address == head {
			out[r.request] = r.stalled
		}
	}
	return out, nil
}

// awaitAnswer waits until the server at the address answers queries.
func (f *silenceFleet) awaitAnswer(ctx context.Context, address string) error {
	for {
		f.mu.Lock()
		found := f.at([]string{address})
		isUp := len(found) > 0 && found[0].isUp
		isSilent := isUp && found[0].silence >= silentServer
		f.mu.Unlock()
		switch {
		case !isUp:
			return fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)
		case !isSilent:
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(step):
		}
	}
}

// identify returns the incarnation of the server at an address, as gateway.Options.Identify does.
func (f *silenceFleet) identify(ctx context.Context, address string) (int64, error) {
	if err := f.awaitAnswer(ctx, address); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at([]string{address})[0].born, nil
}

// Reroute implements gateway.Orders. A silent server takes no part of a path.
func (f *silenceFleet) Reroute(ctx context.Context, head, request string, p layers.Path, _ uint64) (string, error) {
	if err := f.awaitAnswer(ctx, head); err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, run := range f.runs {
		if run.request != request || run.server.address != head || !run.ended.IsZero() {
			continue
		}
		var addresses []string
		for _, part := range p {
			s := f.at([]string{part.Address})
			if len(s) == 0 || !s[0].isUp || s[0].silence >= silentServer {
				return part.Address, errServerGone
			}
			addresses = append(addresses, part.Address)
		}
		run.path = f.at(addresses)
		run.births = births(run.path)
		return "", nil
	}
	return "", errServerGone
}

// counts reports whether the request began to run or was lost before. The caller holds the lock.
func (r *silentRun) counts() bool { return !r.began.IsZero() || r.isCrashed }

// runsOf returns copies of the runs of a request, in the order of their starts.
func (f *silenceFleet) runsOf(request string) []silentRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []silentRun
	for _, r := range f.runs {
		if r.request == request && r.counts() {
			out = append(out, *r)
		}
	}
	return out
}

// retries returns when requests reached a service's servers beyond the first time.
func (f *silenceFleet) retries(service string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[string]bool)
	var out []time.Time
	for _, r := range f.runs {
		if r.server.service != service {
			continue
		}
		if seen[r.request] {
			out = append(out, r.arrived)
		}
		seen[r.request] = true
	}
	return out
}

// describe returns the runs of a request for a failure's message.
func (f *silenceFleet) describe(request string) string {
	var b strings.Builder
	for _, r := range f.runsOf(request) {
		f.mu.Lock()
		fmt.Fprintf(&b, "\n  run at %s (layers %d-%d): began %s, ended %s, sent %d, complete %v, crashed %v", r.server.id, r.server.from, r.server.to,
			r.began.Format(clockFormat), r.ended.Format(clockFormat), r.sent, r.isComplete, r.isCrashed)
		f.mu.Unlock()
	}
	return b.String()
}

const clockFormat = "05.000"

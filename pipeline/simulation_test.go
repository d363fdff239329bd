package pipeline

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// simulation runs one Stream against a set of fake backend servers in virtual time.
type simulation struct {
	now       time.Time
	queue     eventQueue
	lastOrder int
	rand      *rand.Rand
	stream    *Stream
	servers   []*fakeServer
	conns     map[int]*fakeConn
	tokens    int
	emitted   []Token
	ended     bool
	err       error
	runs      map[[2]int]int // layer and token index
	log       []string
}

const (
	simStep  = 3 * time.Millisecond
	simDelay = 2 * time.Millisecond // upper bound of the delay of a hop or a frame
	simTick  = 50 * time.Millisecond
	// simControlTimeout is the time after which an open, a start or a cancel without a response fails.
	simControlTimeout = 400 * time.Millisecond
)

type event struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.lastOrder++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), order: sim.lastOrder, do: do})
}

func (sim *simulation) delay() time.Duration {
	return time.Duration(sim.rand.Int64N(int64(simDelay)))
}

// run processes events until the stream has ended and the servers are idle, or limit has passed.
func (sim *simulation) run(limit time.Duration) {
	end := sim.now.Add(limit)
	var tick func()
	tick = func() {
		if !sim.ended {
			sim.performAll(sim.stream.Tick(sim.now))
			sim.after(simTick, tick)
		}
	}
	sim.after(simTick, tick)
	sim.performAll(sim.stream.Begin(sim.now))
	for sim.queue.Len() > 0 && sim.now.Before(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
}

func (sim *simulation) performAll(actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		sim.logAction(a)
		actions = append(actions[1:], sim.perform(a)...)
	}
}

// logAction logs an action in the format of the golden files.
func (sim *simulation) logAction(a Action) {
	line := ""
	switch a := a.(type) {
	case Open:
		line = fmt.Sprintf("open %s attempt %d from %d fresh %t ready %d import %t",
			a.Chain[a.Stage].Server.Name, a.Attempt, a.From, a.IsFresh, a.Ready, a.Import != nil)
	case Start:
		line = fmt.Sprintf("start attempt %d at %d", a.Attempt, a.Index)
	case Replace:
		line = fmt.Sprintf("replace %s: %s", a.Server, a.Reason)
	case Resume:
		line = fmt.Sprintf("resume %s: %s", a.Server, a.Reason)
	case Cancel:
		line = fmt.Sprintf("cancel %s confirm %t", a.Stage.Server.Name, a.Confirm)
	case Emit:
		line = fmt.Sprintf("emit %d", a.Token.Index)
	case Finish:
		line = fmt.Sprintf("finish: %v", a.Err)
	default:
		line = fmt.Sprintf("%T %+v", a, a)
	}
	sim.log = append(sim.log, fmt.Sprintf("%9s  %s", sim.now.Sub(time.Unix(0, 0)).Round(time.Millisecond), line))
}

func (sim *simulation) perform(a Action) []Action {
	switch a := a.(type) {
	case Open:
		c := &fakeConn{sim: sim, id: a.Conn}
		sim.conns[a.Conn] = c
		s := sim.server(a.Chain[a.Stage].Server.Name)
		sim.after(sim.delay(), func() { s.handle(func() { s.open(c, a) }) })
		sim.failUnanswered(s, a.Conn)
	case Close:
		sim.conns[a.Conn].closed = true
	case Start:
		s := sim.server(a.Stage.Server.Name)
		sim.after(sim.delay(), func() { s.receive(fakeHop{attempt: a.Attempt, index: a.Index}) })
		sim.failUnanswered(s, a.Conn)
	case Replace:
		return sim.replace(a)
	case Cancel:
		s := sim.server(a.Stage.Server.Name)
		// The server may start more work before the cancel arrives.
		sim.after(sim.delay()+sim.delay()+sim.delay(), func() {
			s.handle(func() {
				if !s.crashed {
					s.sessions = nil
				}
			})
			if a.Confirm && s.paused {
				sim.after(simControlTimeout, func() { sim.performAll(sim.stream.Cancelled(sim.now)) })
			} else if a.Confirm {
				sim.performAll(sim.stream.Cancelled(sim.now))
			}
		})
	case Emit:
		sim.emitted = append(sim.emitted, a.Token)
	case Finish:
		sim.ended, sim.err = true, a.Err
	}
	return nil
}

// failUnanswered fails a connection whose server is paused until a request on it has timed out.
func (sim *simulation) failUnanswered(s *fakeServer, conn int) {
	sim.after(simControlTimeout, func() {
		if s.paused && sim.now.Sub(s.pausedAt) >= simControlTimeout {
			sim.performAll(sim.stream.Failed(sim.now, conn, unansweredReason))
		}
	})
}

// unansweredReason is the reason that the dispatcher reports for a request without a response.
const unansweredReason = ReasonNoAnswer

func (sim *simulation) replace(a Replace) []Action {
	for _, s := range sim.servers {
		inChain := slices.ContainsFunc(a.Chain, func(st Stage) bool { return st.Server.Name == s.name })
		if s.layers != a.Layers || inChain || s.crashed || slices.Contains(a.Exclude, s.name) {
			continue
		}
		return sim.stream.Replaced(sim.now, a.Stage, Chain{s.stage()})
	}
	return sim.stream.NoReplacement(sim.now, a.Stage)
}

func (sim *simulation) server(name string) *fakeServer {
	for _, s := range sim.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// fakeConn is the connection to a stage.
type fakeConn struct {
	sim    *simulation
	id     int
	closed bool
	silent bool
	last   time.Time // arrival time of the newest frame; later frames must not arrive before it
}

// send passes a frame to the stream after a random delay.
func (c *fakeConn) send(handle func(now time.Time) []Action) {
	if c.closed || c.silent {
		return
	}
	sim := c.sim
	at := sim.now.Add(sim.delay())
	if at.Before(c.last) {
		at = c.last
	}
	c.last = at
	sim.after(at.Sub(sim.now), func() {
		if !c.closed && !sim.ended {
			sim.performAll(handle(sim.now))
		}
	})
}

type fakeHop struct {
	attempt, stage, index int
}

// fakeSession is the session of one stage at a fake server. docs/BACKEND-PROTOCOL.md describes the
// protocol.
type fakeSession struct {
	open            Open
	conn            *fakeConn
	received        int
	ran             int
	pending         *fakeHop
	forwarded       int
	passed          map[int][]Pass
	texts           map[int]bool
	drainingAttempt int
	exported        bool
	sent            int
}

type fakeServer struct {
	sim           *simulation
	name          string
	layers        fleet.Range
	crashed       bool
	extraStepTime time.Duration  // added to each step
	sessions      []*fakeSession // at most one
	// paused means that the server stands still; held is what it does when it goes on.
	paused   bool
	pausedAt time.Time
	held     []func()
}

// pause makes the server stand still for a time. Its connections stay open, and the kernel keeps
// what arrives.
func (s *fakeServer) pause(d time.Duration) {
	if s.paused || s.crashed {
		return
	}
	s.paused, s.pausedAt = true, s.sim.now
	s.sim.after(d, func() {
		s.paused = false
		held := s.held
		s.held = nil
		for _, do := range held {
			s.handle(do)
		}
	})
}

// handle does something at the server, or when the server goes on if it is paused.
func (s *fakeServer) handle(do func()) {
	if s.paused {
		s.held = append(s.held, do)
		return
	}
	do()
}

func (s *fakeServer) stage() Stage {
	return Stage{Server: fleet.BackendServer{Name: s.name, Layers: s.layers, Slots: 1}, Layers: s.layers}
}

func (s *fakeServer) session() *fakeSession {
	if len(s.sessions) == 0 {
		return nil
	}
	return s.sessions[0]
}

func (s *fakeServer) crash() {
	s.crashed = true
	for _, c := range s.conns() {
		c.send(func(now time.Time) []Action { return s.sim.stream.Failed(now, c.id, ReasonClosed) })
	}
}

func (s *fakeServer) conns() []*fakeConn {
	if x := s.session(); x != nil {
		return []*fakeConn{x.conn}
	}
	return nil
}

func (s *fakeServer) open(c *fakeConn, o Open) {
	if s.crashed {
		c.send(func(now time.Time) []Action { return s.sim.stream.Failed(now, c.id, ReasonDial) })
		return
	}
	if s.mustWait(o) {
		s.sim.after(simStep, func() { s.handle(func() { s.open(c, o) }) })
		return
	}
	x := s.session()
	if x == nil || o.IsFresh {
		x = &fakeSession{
			open: o, received: o.Ready, ran: o.Ready, forwarded: -1,
			passed: make(map[int][]Pass), texts: make(map[int]bool),
		}
		s.importCache(x, o)
		s.sessions = []*fakeSession{x}
	}
	if o.Attempt > x.open.Attempt {
		x.drainingAttempt, x.open, x.forwarded = x.open.Attempt, o, -1
	}
	x.conn = c
	// A stage first waits for the inputs that the previous stage has already sent.
	s.sim.after(simDelay, func() { s.handle(func() { s.opened(x, c, o) }) })
}

// mustWait reports whether the server that exports the KV cache is still running a token. It also
// makes that server accept no more tokens.
func (s *fakeServer) mustWait(o Open) bool {
	if o.Import == nil || !o.IsFresh {
		return false
	}
	from := s.sim.server(o.Import.Server.Name)
	if from.session() == nil || from.crashed {
		return false
	}
	from.session().exported = true
	return from.session().pending != nil
}

// importCache imports the KV cache if the Open names a stage to import it from.
func (s *fakeServer) importCache(x *fakeSession, o Open) {
	if o.Import == nil {
		return
	}
	from := s.sim.server(o.Import.Server.Name)
	old := from.session()
	if from.crashed || old == nil || old.ran < o.Ready {
		return
	}
	x.ran, x.received = old.ran, old.ran
	for k, v := range old.passed {
		x.passed[k] = v
	}
	for k := range old.texts {
		x.texts[k] = true
	}
}

func (s *fakeServer) opened(x *fakeSession, c *fakeConn, o Open) {
	if s.crashed || x.conn != c {
		return
	}
	x.drainingAttempt = 0
	s.sendProgress(x, c, true)
	x.sent = o.From
	if o.Stage == 0 && len(o.Chain) > 1 {
		for i := o.From; i < x.received; i++ {
			if x.texts[i] {
				s.sendToken(x, i)
			}
		}
	}
	s.sendTexts(x)
	s.alive(x, c)
}

func (s *fakeServer) alive(x *fakeSession, c *fakeConn) {
	s.sim.after(200*time.Millisecond, func() {
		s.handle(func() {
			if s.crashed || c.closed || s.sim.ended || s.session() != x {
				return
			}
			s.sendProgress(x, c, false)
			s.alive(x, c)
		})
	})
}

func (s *fakeServer) sendProgress(x *fakeSession, c *fakeConn, opened bool) {
	p := Progress{Received: x.received, Ran: x.ran, Known: x.known()}
	c.send(func(now time.Time) []Action {
		if opened {
			return s.sim.stream.Opened(now, c.id, p)
		}
		return s.sim.stream.Alive(now, c.id, p)
	})
}

func (s *fakeServer) isLast(x *fakeSession) bool { return x.open.Stage == len(x.open.Chain)-1 }

// sendTexts sends the tokens that the last stage has sampled but not sent yet. After the last
// token it sends the end frame.
func (s *fakeServer) sendTexts(x *fakeSession) {
	if !s.isLast(x) {
		return
	}
	for i := x.sent; i < x.ran; i++ {
		if x.texts[i] {
			s.sendToken(x, i)
			x.sent = i + 1
		}
	}
	if x.ran == s.sim.tokens {
		c := x.conn
		c.send(func(now time.Time) []Action { return s.sim.stream.End(now, c.id, s.sim.tokens) })
	}
}

func (s *fakeServer) sendToken(x *fakeSession, i int) {
	c := x.conn
	t := Token{Request: "r", Attempt: x.open.Attempt, Index: i, Text: simText(i), Passed: simPassed(x.open.Chain)}
	c.send(func(now time.Time) []Action { return s.sim.stream.Token(now, c.id, t) })
}

func simText(i int) string { return fmt.Sprintf("t%d", i) }

func simPassed(chain Chain) []Pass {
	var out []Pass
	for _, st := range chain {
		out = append(out, Pass{Server: st.Server.Name, Layers: st.Layers})
	}
	return out
}

func (s *fakeServer) receive(h fakeHop) { s.handle(func() { s.take(h) }) }

func (s *fakeServer) take(h fakeHop) {
	x := s.session()
	if s.crashed || x == nil || x.exported || (h.attempt != x.open.Attempt && h.attempt != x.drainingAttempt) {
		return
	}
	if h.stage == 0 && h.index > 0 {
		x.texts[h.index-1] = true
	}
	switch {
	case h.index < x.ran:
		s.forward(x, h)
	case h.index != x.ran || h.index >= s.sim.tokens:
	case x.pending != nil:
		x.pending.attempt = max(x.pending.attempt, h.attempt)
	default:
		x.pending = &h
		x.received = h.index + 1
		s.sim.after(simStep+s.extraStepTime, func() { s.handle(func() { s.finish(x, &h) }) })
	}
}

func (s *fakeServer) finish(x *fakeSession, h *fakeHop) {
	if s.crashed || s.session() != x || x.pending != h {
		return
	}
	x.pending = nil
	x.ran++
	for layer := s.layers.From; layer < s.layers.To; layer++ {
		s.sim.runs[[2]int{layer, h.index}]++
	}
	s.forward(x, *h)
}

func (s *fakeServer) forward(x *fakeSession, h fakeHop) {
	if s.isLast(x) {
		x.texts[h.index] = true
		s.sendTexts(x)
	}
	if h.attempt != x.open.Attempt || h.index <= x.forwarded {
		return
	}
	x.forwarded = h.index
	next := fakeHop{attempt: h.attempt, stage: x.open.Stage + 1, index: h.index}
	if s.isLast(x) {
		next = fakeHop{attempt: h.attempt, index: h.index + 1}
	}
	to := s.sim.server(x.open.Chain[next.stage].Server.Name)
	s.sim.after(s.sim.delay(), func() { to.receive(next) })
}

// known returns one more than the highest index whose text the stage knows.
func (x *fakeSession) known() int {
	n := 0
	for i := range x.texts {
		n = max(n, i+1)
	}
	return n
}

func (sim *simulation) layersRun() int {
	total := 0
	for _, n := range sim.runs {
		total += n
	}
	return total
}

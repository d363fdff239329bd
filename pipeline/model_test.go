package pipeline

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// world simulates one Stream and a set of fake backend servers in virtual time.
type world struct {
	now     time.Time
	queue   agenda
	order   int
	rand    *rand.Rand
	stream  *Stream
	servers []*fakeServer
	conns   map[int]*fakeConn
	tokens  int
	emitted []Token
	ended   bool
	err     error
	runs    map[[2]int]int // layer and token index
	log     []string
}

const (
	modelStep  = 3 * time.Millisecond
	modelDelay = 2 * time.Millisecond // upper bound of the delay of a hop or a frame
	modelTick  = 50 * time.Millisecond
)

type event struct {
	at    time.Time
	order int
	do    func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.order, do: do})
}

func (w *world) delay() time.Duration {
	return time.Duration(w.rand.Int64N(int64(modelDelay)))
}

// run processes events until the stream has ended and the servers are idle, or limit has passed.
func (w *world) run(limit time.Duration) {
	end := w.now.Add(limit)
	var tick func()
	tick = func() {
		if !w.ended {
			w.do(w.stream.Tick(w.now))
			w.after(modelTick, tick)
		}
	}
	w.after(modelTick, tick)
	w.do(w.stream.Begin(w.now))
	for w.queue.Len() > 0 && w.now.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) do(actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		w.note(a)
		actions = append(actions[1:], w.act(a)...)
	}
}

// note adds an action to the log.
func (w *world) note(a Action) {
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
	w.log = append(w.log, fmt.Sprintf("%9s  %s", w.now.Sub(time.Unix(0, 0)).Round(time.Millisecond), line))
}

func (w *world) act(a Action) []Action {
	switch a := a.(type) {
	case Open:
		c := &fakeConn{world: w, id: a.Conn}
		w.conns[a.Conn] = c
		s := w.server(a.Chain[a.Stage].Server.Name)
		w.after(w.delay(), func() { s.open(c, a) })
	case Close:
		w.conns[a.Conn].closed = true
	case Start:
		s := w.server(a.Stage.Server.Name)
		w.after(w.delay(), func() { s.receive(fakeHop{attempt: a.Attempt, index: a.Index}) })
	case Replace:
		return w.replace(a)
	case Cancel:
		s := w.server(a.Stage.Server.Name)
		// A cancel can arrive after work that its server starts meanwhile.
		w.after(w.delay()+w.delay()+w.delay(), func() {
			if !s.crashed {
				s.sessions = nil
			}
			if a.Confirm {
				w.do(w.stream.Cancelled(w.now))
			}
		})
	case Emit:
		w.emitted = append(w.emitted, a.Token)
	case Finish:
		w.ended, w.err = true, a.Err
	}
	return nil
}

func (w *world) replace(a Replace) []Action {
	for _, s := range w.servers {
		inChain := slices.ContainsFunc(a.Chain, func(st Stage) bool { return st.Server.Name == s.name })
		if s.layers != a.Layers || inChain || s.crashed || slices.Contains(a.Exclude, s.name) {
			continue
		}
		return w.stream.Replaced(w.now, a.Stage, Chain{s.stage()})
	}
	return w.stream.NoReplacement(w.now, a.Stage)
}

func (w *world) server(name string) *fakeServer {
	for _, s := range w.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// fakeConn is the connection to a stage.
type fakeConn struct {
	world  *world
	id     int
	closed bool
	silent bool
	last   time.Time // arrival of the newest frame, before which no later one may arrive
}

// send passes a frame to the stream after a random delay.
func (c *fakeConn) send(take func(now time.Time) []Action) {
	if c.closed || c.silent {
		return
	}
	w := c.world
	at := w.now.Add(w.delay())
	if at.Before(c.last) {
		at = c.last
	}
	c.last = at
	w.after(at.Sub(w.now), func() {
		if !c.closed && !w.ended {
			w.do(take(w.now))
		}
	})
}

type fakeHop struct {
	attempt, stage, index int
}

// fakeSession is one stage at a fake server. docs/BACKEND-PROTOCOL.md describes the protocol.
type fakeSession struct {
	open      Open
	conn      *fakeConn
	received  int
	ran       int
	pending   *fakeHop
	forwarded int
	passed    map[int][]Pass
	texts     map[int]bool
	drained   int
	exported  bool
	sent      int
}

type fakeServer struct {
	world    *world
	name     string
	layers   fleet.Range
	crashed  bool
	pause    time.Duration  // added to each step
	sessions []*fakeSession // at most one
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
		c.send(func(now time.Time) []Action { return s.world.stream.Failed(now, c.id, ReasonClosed) })
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
		c.send(func(now time.Time) []Action { return s.world.stream.Failed(now, c.id, ReasonDial) })
		return
	}
	if s.mustWait(o) {
		s.world.after(modelStep, func() { s.open(c, o) })
		return
	}
	x := s.session()
	if x == nil || o.IsFresh {
		x = &fakeSession{
			open: o, received: o.Ready, ran: o.Ready, forwarded: -1,
			passed: make(map[int][]Pass), texts: make(map[int]bool),
		}
		s.take(x, o)
		s.sessions = []*fakeSession{x}
	}
	if o.Attempt > x.open.Attempt {
		x.drained, x.open, x.forwarded = x.open.Attempt, o, -1
	}
	x.conn = c
	// A stage first waits for the inputs that the previous stage has already sent.
	s.world.after(modelDelay, func() { s.opened(x, c, o) })
}

// mustWait reports whether the exporting server is still running a token. From then on that
// server accepts no more tokens.
func (s *fakeServer) mustWait(o Open) bool {
	if o.Import == nil || !o.IsFresh {
		return false
	}
	from := s.world.server(o.Import.Server.Name)
	if from.session() == nil || from.crashed {
		return false
	}
	from.session().exported = true
	return from.session().pending != nil
}

// take imports the KV cache if the Open names a stage to import it from.
func (s *fakeServer) take(x *fakeSession, o Open) {
	if o.Import == nil {
		return
	}
	from := s.world.server(o.Import.Server.Name)
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
	x.drained = 0
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
	s.world.after(200*time.Millisecond, func() {
		if s.crashed || c.closed || s.world.ended || s.session() != x {
			return
		}
		s.sendProgress(x, c, false)
		s.alive(x, c)
	})
}

func (s *fakeServer) sendProgress(x *fakeSession, c *fakeConn, opened bool) {
	p := Progress{Received: x.received, Ran: x.ran, Known: x.known()}
	c.send(func(now time.Time) []Action {
		if opened {
			return s.world.stream.Opened(now, c.id, p)
		}
		return s.world.stream.Alive(now, c.id, p)
	})
}

func (s *fakeServer) isLast(x *fakeSession) bool { return x.open.Stage == len(x.open.Chain)-1 }

// sendTexts sends the tokens that the last stage has sampled and not sent, and the end frame.
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
	if x.ran == s.world.tokens {
		c := x.conn
		c.send(func(now time.Time) []Action { return s.world.stream.End(now, c.id, s.world.tokens) })
	}
}

func (s *fakeServer) sendToken(x *fakeSession, i int) {
	c := x.conn
	t := Token{Request: "r", Attempt: x.open.Attempt, Index: i, Text: modelText(i), Passed: modelPassed(x.open.Chain)}
	c.send(func(now time.Time) []Action { return s.world.stream.Token(now, c.id, t) })
}

func modelText(i int) string { return fmt.Sprintf("t%d", i) }

func modelPassed(chain Chain) []Pass {
	var out []Pass
	for _, st := range chain {
		out = append(out, Pass{Server: st.Server.Name, Layers: st.Layers})
	}
	return out
}

func (s *fakeServer) receive(h fakeHop) {
	x := s.session()
	if s.crashed || x == nil || x.exported || (h.attempt != x.open.Attempt && h.attempt != x.drained) {
		return
	}
	if h.stage == 0 && h.index > 0 {
		x.texts[h.index-1] = true
	}
	switch {
	case h.index < x.ran:
		s.forward(x, h)
	case h.index != x.ran || h.index >= s.world.tokens:
	case x.pending != nil:
		x.pending.attempt = max(x.pending.attempt, h.attempt)
	default:
		x.pending = &h
		x.received = h.index + 1
		s.world.after(modelStep+s.pause, func() { s.finish(x, &h) })
	}
}

func (s *fakeServer) finish(x *fakeSession, h *fakeHop) {
	if s.crashed || s.session() != x || x.pending != h {
		return
	}
	x.pending = nil
	x.ran++
	for layer := s.layers.From; layer < s.layers.To; layer++ {
		s.world.runs[[2]int{layer, h.index}]++
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
	to := s.world.server(x.open.Chain[next.stage].Server.Name)
	s.world.after(s.world.delay(), func() { to.receive(next) })
}

// known returns one more than the highest index whose text the stage knows.
func (x *fakeSession) known() int {
	n := 0
	for i := range x.texts {
		n = max(n, i+1)
	}
	return n
}

func (w *world) layersRun() int {
	total := 0
	for _, n := range w.runs {
		total += n
	}
	return total
}

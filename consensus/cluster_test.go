package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// savedState is what a replica has saved in its data folder.
type savedState struct {
	folderID uint64
	starts   uint64
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (s savedState) copy() savedState {
	s.entries = slices.Clone(s.entries)
	return s
}

func (s *savedState) save(r Ready) {
	if r.Snapshot != nil {
		s.snapshot = *r.Snapshot
		s.entries = nil
	}
	if r.HardState != nil {
		s.hard = *r.HardState
	}
	if len(r.Entries) > 0 {
		s.entries = append(slices.Clone(s.entries[:r.Entries[0].Index-s.snapshot.Index-1]), r.Entries...)
	}
}

// testReplica is a node with its saved state. Its replicated state is the list of the commands
// that the node has applied.
type testReplica struct {
	encoded encodedState
	node    *Node
	saved   savedState
	state   []string
	down    bool
	// paused simulates a paused process, which neither runs nor receives messages.
	paused bool
	// late is the number of ticks for which the replica has neither run nor looked at messages, which wait.
	late        int
	savedCopies []savedState
}

// cluster runs replicas in one goroutine over a simulated network that blocks, loses, duplicates
// and reorders messages. It checks the invariants after every step.
type cluster struct {
	fail          func(format string, args ...any)
	replicas      map[string]*testReplica
	ids           []string
	initialVoters []string
	blocked       map[[2]string]bool
	inFlight      []Message
	loss          float64
	rng           *rand.Rand
	lastFolderID  uint64
	committed     []Entry
	// ticks is the time, and committedAt holds when each of committed was first applied.
	ticks       uint64
	committedAt []uint64
	// queuesForPaused keeps the messages to paused replicas until they are resumed, in queued.
	queuesForPaused bool
	queued          map[string][]Message
	// lateness is the probability with which a replica falls behind at a tick.
	lateness float64
	// beatsWhileSaving lets leaders send heartbeats before they have saved a batch, and some replicas end there.
	beatsWhileSaving bool
	// maxDelay is the longest time in ticks that a message is on its way; delayed holds those that are.
	maxDelay int
	delayed  map[uint64][]Message
	// links limits the bandwidth between replicas; nil means that there is no limit.
	links *slowLinks
	// olderLeaders makes messages look like those of a build that says nothing about rounds.
	olderLeaders bool
	// powerFailsAfter is the number of messages that are still sent before all replicas crash; 0: no limit.
	powerFailsAfter int
	// onProcessed is called after each step of a replica; nil means nothing.
	onProcessed  func(id string)
	leaders      map[uint64]string
	replaceTicks int
	// size is Options.Size, and joinOnly holds Options.JoinOnly of each node.
	size      int
	joinOnly  map[string]bool
	recorded  []Message // the messages sent while recording is true
	recording bool
}

func newCluster(t interface{ Fatalf(string, ...any) }, initialVoters, standbys int, seed uint64) *cluster {
	c := &cluster{
		fail:     t.Fatalf,
		replicas: map[string]*testReplica{},
		blocked:  map[[2]string]bool{},
		rng:      rand.New(rand.NewPCG(seed, 1)),
		leaders:  map[uint64]string{},
	}
	for i := range initialVoters + standbys {
		c.ids = append(c.ids, fmt.Sprintf("n%d", i))
	}
	c.initialVoters = c.ids[:initialVoters]
	for _, id := range c.ids {
		c.replicas[id] = &testReplica{saved: c.newSavedState()}
		c.start(id)
	}
	return c
}

func (c *cluster) newSavedState() savedState {
	c.lastFolderID++
	return savedState{folderID: c.lastFolderID}
}

func (c *cluster) start(id string) {
	r := c.replicas[id]
	r.saved.starts++
	r.down, r.paused, r.late = false, false, 0
	delete(c.queued, id)
	r.state = decodeState(r.saved.snapshot.Data)
	r.node = New(Options{
		ID: id, Address: id, Disk: r.saved.folderID, Epoch: r.saved.starts<<EpochNonceBits | c.rng.Uint64N(1<<EpochNonceBits),
		InitialVoters: c.initialVoters, Size: c.size, JoinOnly: c.joinOnly[id], ElectionTicks: 10, HeartbeatTicks: 2, ReplaceTicks: c.replaceTicks, Seed: c.rng.Uint64(),
	}, r.saved.hard, r.saved.snapshot, slices.Clone(r.saved.entries))
}

// crash stops a replica without warning. Its saved state is kept.
func (c *cluster) crash(id string) { c.replicas[id].down = true }

func (c *cluster) isBlocked(m Message) bool {
	from, to := c.replicas[m.From], c.replicas[m.To]
	return to == nil || to.down || to.paused || from.down || c.blocked[[2]string{m.From, m.To}] || c.blocked[[2]string{m.To, m.From}]
}

// process handles the Ready batches of a node until there is no more work.
func (c *cluster) process(id string) {
	r := c.replicas[id]
	if r.down || r.paused || r.late > 0 {
		return
	}
	for {
		if r.node.IsRolledBack() {
			r.saved = c.newSavedState()
			c.start(id)
			return
		}
		ready := r.node.Ready()
		if ready.IsEmpty() {
			break
		}
		if c.beatsWhileSaving && c.rng.IntN(4) == 0 {
			for _, m := range r.node.HeartbeatsWhileSaving() {
				c.enqueue(m)
			}
			if c.rng.IntN(50) == 0 { // the process ends before it has saved
				c.crash(id)
				return
			}
		}
		r.saved.save(ready)
		if ready.Snapshot != nil {
			r.state = decodeState(ready.Snapshot.Data)
			c.checkState(id, ready.Snapshot.Index)
		}
		for _, m := range ready.Messages {
			c.enqueue(m)
		}
		if r.down { // the power has failed
			return
		}
		for _, e := range ready.Committed {
			c.apply(id, e)
		}
		r.node.Advance(ready)
	}
	c.checkLeader(id)
	if c.onProcessed != nil {
		c.onProcessed(id)
	}
}

func (c *cluster) enqueue(m Message) {
	if c.replicas[m.From].down {
		return
	}
	if c.powerFailsAfter > 0 {
		if c.powerFailsAfter--; c.powerFailsAfter == 0 {
			for _, id := range c.ids {
				c.crash(id)
			}
			c.inFlight, c.delayed = nil, map[uint64][]Message{}
			return
		}
	}
	if c.olderLeaders {
		m.AckedRound, m.AckedEpoch, m.ConfirmedRound = 0, 0, 0
	}
	if c.recording {
		c.recorded = append(c.recorded, m)
	}
	if c.rng.Float64() < c.loss {
		return
	}
	c.transmit(m)
	if c.rng.Float64() < c.loss {
		c.transmit(m)
	}
}

func (c *cluster) transmit(m Message) {
	if c.links != nil {
		c.links.put(m)
		return
	}
	if c.maxDelay == 0 {
		c.inFlight = append(c.inFlight, m)
		return
	}
	at := c.ticks + c.rng.Uint64N(uint64(c.maxDelay)+1)
	if at == c.ticks {
		c.inFlight = append(c.inFlight, m)
		return
	}
	c.delayed[at] = append(c.delayed[at], m)
}

// apply applies an entry. It checks that the first replica that reached this index applied the
// same entry.
func (c *cluster) apply(id string, e Entry) {
	r := c.replicas[id]
	at := int(e.Index) - 2
	if at < len(c.committed) {
		if old := c.committed[at]; old.Term != e.Term || string(old.Data) != string(e.Data) {
			c.fail("%s applied %q of term %d at index %d; %q of term %d was committed there", id, e.Data, e.Term, e.Index, old.Data, old.Term)
		}
	} else if at == len(c.committed) {
		c.committed = append(c.committed, e)
		c.committedAt = append(c.committedAt, c.ticks)
	} else {
		c.fail("%s applied index %d before index %d was committed", id, e.Index, len(c.committed)+2)
	}
	if e.Kind == EntryCommand && len(e.Data) > 0 {
		r.state = append(r.state, string(e.Data))
	}
	c.checkState(id, e.Index)
}

// checkState compares a replica's state with the list of committed commands.
func (c *cluster) checkState(id string, index uint64) {
	var want []string
	for _, e := range c.committed[:min(len(c.committed), int(index)-1)] {
		if e.Kind == EntryCommand && len(e.Data) > 0 {
			want = append(want, string(e.Data))
		}
	}
	if !slices.Equal(want, c.replicas[id].state) {
		c.fail("%s has the state %v at index %d, want %v", id, c.replicas[id].state, index, want)
	}
}

// checkLeader checks that each term has at most one leader, and that at most one replica holds a
// lease.
func (c *cluster) checkLeader(id string) {
	n := c.replicas[id].node
	if n.Role() != RoleLeader {
		return
	}
	if other := c.leaders[n.Term()]; other != "" && other != id {
		c.fail("%s and %s are both leader in term %d", id, other, n.Term())
	}
	c.leaders[n.Term()] = id
	for other, r := range c.replicas {
		if other != id && !r.down && !r.paused && r.late == 0 && r.node.HasLease() && n.HasLease() {
			c.fail("%s and %s hold a lease at the same time", id, other)
		}
	}
}

func (c *cluster) compact(id string) {
	r := c.replicas[id]
	if r.down || r.paused || !r.node.hasGroup() || !r.node.Ready().IsEmpty() {
		return
	}
	// The previous call encoded the state, so further entries may have been applied since then. This
	// is also so in control.Host, which encodes the state in another goroutine.
	if r.encoded.node == r.node {
		if s, rest, ok := r.node.Compact(r.encoded.index, r.encoded.data); ok {
			r.saved.snapshot, r.saved.entries = s, rest
		}
	}
	r.encoded = encodedState{node: r.node, index: r.node.Applied(), data: encodeState(r.state)}
}

// encodedState is the encoded state of a node at an index, for the next call of Compact.
type encodedState struct {
	node  *Node
	index uint64
	data  []byte
}

func encodeState(state []string) []byte {
	var b []byte
	for _, s := range state {
		b = appendString(b, s)
	}
	return b
}

func decodeState(data []byte) []string {
	var state []string
	for r := (reader{rest: data}); len(r.rest) > 0; {
		state = append(state, r.readString())
	}
	return state
}

func (c *cluster) settle() {
	for _, id := range c.ids {
		c.process(id)
	}
	for len(c.inFlight) > 0 {
		messages := c.inFlight
		c.inFlight = nil
		if c.loss > 0 {
			c.rng.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
		}
		for _, m := range messages {
			if r := c.replicas[m.To]; r != nil && !r.down && (c.queuesForPaused && r.paused || r.late > 0) {
				if c.queued == nil {
					c.queued = map[string][]Message{}
				}
				c.queued[m.To] = append(c.queued[m.To], m)
			} else if !c.isBlocked(m) {
				c.replicas[m.To].node.Step(m)
				c.process(m.To)
			}
		}
	}
}

func (c *cluster) tick(count int) {
	for range count {
		c.ticks++
		c.inFlight = append(c.inFlight, c.delayed[c.ticks]...)
		delete(c.delayed, c.ticks)
		if c.links != nil {
			c.inFlight = append(c.inFlight, c.links.tick(c.ids)...)
		}
		for _, id := range c.ids {
			if r := c.replicas[id]; !r.down && !r.paused {
				c.tickReplica(id, r)
			}
		}
		c.settle()
	}
}

// tickReplica lets a replica run for a tick, or fall behind. One that has fallen behind first looks at its clock, then
// at the messages that have waited, and then at its timers, as control.Host does.
func (c *cluster) tickReplica(id string, r *testReplica) {
	const staysLate = 0.95
	if c.lateness > 0 && (c.rng.Float64() < c.lateness || r.late > 0 && c.rng.Float64() < staysLate) {
		r.late++
		return
	}
	if r.late == 0 {
		r.node.Tick()
		return
	}
	r.node.Elapse(r.late + 1)
	r.late = 0
	c.checkLeader(id) // before it has heard of another one
	for _, m := range c.queued[id] {
		r.node.Step(m)
	}
	delete(c.queued, id)
	r.node.RunTimers()
}

// leader returns the ID of the replica that holds the lease, or "".
func (c *cluster) leader() string {
	for _, id := range c.ids {
		if r := c.replicas[id]; !r.down && !r.paused && r.late == 0 && r.node.HasLease() {
			return id
		}
	}
	return ""
}

// awaitLeader advances the cluster until a replica holds the lease.
func (c *cluster) awaitLeader() string {
	for range 1000 {
		if id := c.leader(); id != "" {
			return id
		}
		c.tick(1)
	}
	c.fail("no leader after 1000 ticks: %s", c.statuses())
	return ""
}

func (c *cluster) propose(t *testing.T, text string) {
	t.Helper()
	id := c.awaitLeader()
	if _, _, err := c.replicas[id].node.Propose([]byte(text)); err != nil {
		t.Fatal(err)
	}
	c.tick(6)
}

func (c *cluster) others(ids ...string) []string {
	var out []string
	for _, id := range c.ids {
		if !slices.Contains(ids, id) {
			out = append(out, id)
		}
	}
	return out
}

func (c *cluster) setIsolated(id string, on bool) {
	for _, other := range c.others(id) {
		c.blocked[[2]string{id, other}] = on
	}
}

func (c *cluster) voters() []string {
	var ids []string
	for _, v := range c.replicas[c.awaitLeader()].node.Status().Membership.Voters {
		ids = append(ids, v.ID)
	}
	slices.Sort(ids)
	return ids
}

// statuses describes all replicas, for failure messages.
func (c *cluster) statuses() string {
	text := ""
	for _, id := range c.ids {
		n := c.replicas[id].node
		text += fmt.Sprintf("\n%s: disk %d, group %d, %+v", id, n.opts.Disk, n.Group(), n.Status())
	}
	return text
}

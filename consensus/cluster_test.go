package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// disk is the saved state of a replica.
type disk struct {
	number   uint64
	starts   uint64
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d disk) copy() disk {
	d.entries = slices.Clone(d.entries)
	return d
}

func (d *disk) save(r Ready) {
	if r.Snapshot != nil {
		d.snapshot = *r.Snapshot
		d.entries = nil
	}
	if r.HardState != nil {
		d.hard = *r.HardState
	}
	if len(r.Entries) > 0 {
		d.entries = append(slices.Clone(d.entries[:r.Entries[0].Index-d.snapshot.Index-1]), r.Entries...)
	}
}

// replicaUnderTest is a node with its saved state. Its replicated state is the list of the
// commands that it has applied.
type replicaUnderTest struct {
	image image
	node  *Node
	disk  disk
	state []string
	down  bool
	// frozen replicas simulate a paused process: they neither run nor receive messages.
	frozen bool
	copies []disk
}

// cluster runs replicas in one goroutine over a simulated network that blocks, loses, duplicates
// and reorders messages. It checks the invariants after every step.
type cluster struct {
	fail      func(format string, args ...any)
	replicas  map[string]*replicaUnderTest
	ids       []string
	founders  []string
	cut       map[[2]string]bool
	flight    []Message
	loss      float64
	rng       *rand.Rand
	disks     uint64
	committed []Entry
	leaders   map[uint64]string
	replaceIn int
	// size is Options.Size, and joinsOnly holds Options.JoinsOnly of each node.
	size      int
	joinsOnly map[string]bool
	script    []Message // the messages sent while recording is true
	recording bool
}

func newCluster(t interface{ Fatalf(string, ...any) }, founders, standbys int, seed uint64) *cluster {
	c := &cluster{
		fail:     t.Fatalf,
		replicas: map[string]*replicaUnderTest{},
		cut:      map[[2]string]bool{},
		rng:      rand.New(rand.NewPCG(seed, 1)),
		leaders:  map[uint64]string{},
	}
	for i := range founders + standbys {
		c.ids = append(c.ids, fmt.Sprintf("n%d", i))
	}
	c.founders = c.ids[:founders]
	for _, id := range c.ids {
		c.replicas[id] = &replicaUnderTest{disk: c.newDisk()}
		c.start(id)
	}
	return c
}

func (c *cluster) newDisk() disk {
	c.disks++
	return disk{number: c.disks}
}

func (c *cluster) start(id string) {
	r := c.replicas[id]
	r.disk.starts++
	r.down, r.frozen = false, false
	r.state = decodeState(r.disk.snapshot.Data)
	r.node = New(Options{
		ID: id, Address: id, Disk: r.disk.number, Epoch: r.disk.starts<<EpochNonceBits | c.rng.Uint64N(1<<EpochNonceBits),
		InitialVoters: c.founders, Size: c.size, JoinOnly: c.joinsOnly[id], ElectionTicks: 10, HeartbeatTicks: 2, ReplaceTicks: c.replaceIn, Seed: c.rng.Uint64(),
	}, r.disk.hard, r.disk.snapshot, slices.Clone(r.disk.entries))
}

// stop crashes a replica. Its saved state is kept.
func (c *cluster) stop(id string) { c.replicas[id].down = true }

func (c *cluster) isCut(m Message) bool {
	from, to := c.replicas[m.From], c.replicas[m.To]
	return to == nil || to.down || to.frozen || from.down || c.cut[[2]string{m.From, m.To}] || c.cut[[2]string{m.To, m.From}]
}

// work processes the batches of a node until there are none left.
func (c *cluster) work(id string) {
	r := c.replicas[id]
	if r.down || r.frozen {
		return
	}
	for {
		if r.node.IsRolledBack() {
			r.disk = c.newDisk()
			c.start(id)
			return
		}
		ready := r.node.Ready()
		if ready.IsEmpty() {
			break
		}
		r.disk.save(ready)
		if ready.Snapshot != nil {
			r.state = decodeState(ready.Snapshot.Data)
			c.checkState(id, ready.Snapshot.Index)
		}
		for _, m := range ready.Messages {
			c.deliver(m)
		}
		for _, e := range ready.Committed {
			c.apply(id, e)
		}
		r.node.Advance(ready)
	}
	c.checkLeader(id)
}

func (c *cluster) deliver(m Message) {
	if c.recording {
		c.script = append(c.script, m)
	}
	if c.rng.Float64() < c.loss {
		return
	}
	c.flight = append(c.flight, m)
	if c.rng.Float64() < c.loss {
		c.flight = append(c.flight, m)
	}
}

// apply applies an entry and checks that it equals the first entry that any replica applied at
// this index.
func (c *cluster) apply(id string, e Entry) {
	r := c.replicas[id]
	at := int(e.Index) - 2
	if at < len(c.committed) {
		if old := c.committed[at]; old.Term != e.Term || string(old.Data) != string(e.Data) {
			c.fail("%s applied %q of term %d at index %d; %q of term %d was committed there", id, e.Data, e.Term, e.Index, old.Data, old.Term)
		}
	} else if at == len(c.committed) {
		c.committed = append(c.committed, e)
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
	var naive []string
	for _, e := range c.committed[:min(len(c.committed), int(index)-1)] {
		if e.Kind == EntryCommand && len(e.Data) > 0 {
			naive = append(naive, string(e.Data))
		}
	}
	if !slices.Equal(naive, c.replicas[id].state) {
		c.fail("%s has the state %v at index %d, want %v", id, c.replicas[id].state, index, naive)
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
		if other != id && !r.down && !r.frozen && r.node.HasLease() && n.HasLease() {
			c.fail("%s and %s hold a lease at the same time", id, other)
		}
	}
}

func (c *cluster) compact(id string) {
	r := c.replicas[id]
	if r.down || r.frozen || !r.node.isFounded() || !r.node.Ready().IsEmpty() {
		return
	}
	// As in control.Host, which encodes the state in another goroutine, further entries may be
	// applied before the snapshot is taken.
	if r.image.node == r.node {
		if s, rest, ok := r.node.Compact(r.image.index, r.image.data); ok {
			r.disk.snapshot, r.disk.entries = s, rest
		}
	}
	r.image = image{node: r.node, index: r.node.Applied(), data: encodeState(r.state)}
}

// image is an encoded state that the next call of compact uses.
type image struct {
	node  *Node
	index uint64
	data  []byte
}

func encodeState(state []string) []byte {
	var b []byte
	for _, s := range state {
		b = appendText(b, s)
	}
	return b
}

func decodeState(data []byte) []string {
	var state []string
	for r := (reader{rest: data}); len(r.rest) > 0; {
		state = append(state, r.text())
	}
	return state
}

func (c *cluster) settle() {
	for _, id := range c.ids {
		c.work(id)
	}
	for len(c.flight) > 0 {
		flight := c.flight
		c.flight = nil
		if c.loss > 0 {
			c.rng.Shuffle(len(flight), func(i, j int) { flight[i], flight[j] = flight[j], flight[i] })
		}
		for _, m := range flight {
			if !c.isCut(m) {
				c.replicas[m.To].node.Step(m)
				c.work(m.To)
			}
		}
	}
}

func (c *cluster) tick(count int) {
	for range count {
		for _, id := range c.ids {
			if r := c.replicas[id]; !r.down && !r.frozen {
				r.node.Tick()
			}
		}
		c.settle()
	}
}

// leader returns the ID of the replica that holds the lease, or "".
func (c *cluster) leader() string {
	for _, id := range c.ids {
		if r := c.replicas[id]; !r.down && !r.frozen && r.node.HasLease() {
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

func (c *cluster) cutOff(id string, on bool) {
	for _, other := range c.others(id) {
		c.cut[[2]string{id, other}] = on
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

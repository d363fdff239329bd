package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/formlevel"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// levelTick is the time that passes for the levels with each tick of the nodes.
const levelTick = 400 * time.Millisecond

// memStorage keeps what a host saves.
type memStorage struct {
	stored   storage.Stored
	identity storage.Identity
	// savedLevel is the highest level of the entries that were saved since the start.
	savedLevel formlevel.Level
}

func (m *memStorage) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if hard != nil {
		m.stored.HardState = *hard
	}
	for _, e := range entries {
		if level, err := replica.CommandLevel(e.Data); err == nil && e.Kind == consensus.EntryCommand {
			m.savedLevel = max(m.savedLevel, level)
		}
	}
	if len(entries) > 0 {
		kept := entries[0].Index - m.stored.Snapshot.Index - 1
		m.stored.Entries = append(slices.Clone(m.stored.Entries[:kept]), entries...)
	}
	return nil
}

func (m *memStorage) SaveSnapshot(s consensus.Snapshot, hard consensus.HardState, rest []consensus.Entry) error {
	m.stored = storage.Stored{HardState: hard, Snapshot: s, Entries: slices.Clone(rest)}
	return nil
}

func (m *memStorage) Reset() error {
	m.stored = storage.Stored{}
	m.identity = storage.Identity{Disk: m.identity.Disk + 1000, Starts: 1}
	return nil
}

func (m *memStorage) Identity() storage.Identity { return m.identity }

// levelReplica is a host of one of two levels with its folder.
type levelReplica struct {
	*Host
	disk    *memStorage
	level   formlevel.Level
	started time.Duration
	down    bool
	cut     bool
	// compared is the index at which the state was last compared.
	compared uint64
	// stopped is the error with which the host has ended by itself.
	stopped error
}

// levelGroup runs hosts in one goroutine with a simulated network.
type levelGroup struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	names    []string
	replicas map[string]*levelReplica
	queue    []consensus.Message
	// states holds the replicated state after each index, as the first replica that applied it had it.
	states map[uint64]string
	raised bool
	disks  uint64
}

func newLevelGroup(t *testing.T, seed uint64) *levelGroup {
	g := &levelGroup{t: t, rng: rand.New(rand.NewPCG(seed, 46)), replicas: map[string]*levelReplica{}, states: map[uint64]string{}}
	for i := range 5 {
		name := fmt.Sprintf("control-%d", i)
		g.names = append(g.names, name)
		g.replicas[name] = &levelReplica{disk: g.newDisk()}
	}
	for _, name := range g.names {
		g.start(name, 1)
	}
	return g
}

func (g *levelGroup) newDisk() *memStorage {
	g.disks++
	return &memStorage{identity: storage.Identity{Disk: g.disks}}
}

func (g *levelGroup) Send(m consensus.Message)   { g.queue = append(g.queue, m) }
func (g *levelGroup) Reach(name, address string) {}

// start starts the host again with a build of the level, as OpenStorage would.
func (g *levelGroup) start(name string, level formlevel.Level) {
	r := g.replicas[name]
	r.level, r.started, r.down, r.stopped = level, g.now, false, nil
	r.disk.identity.Starts++
	r.disk.savedLevel = 0
	if err := errors.Join(checkSnapshot(r.disk.stored.Snapshot.Data, level), checkEntries(r.disk.stored.Entries, level)); err != nil {
		r.stopped = err
		return
	}
	stored := r.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	h, err := NewHost(Options{
		ID: name, Address: name, Voters: g.names, Seed: g.rng.Uint64(), Level: level, Storage: r.disk, Sender: g,
		OnView: func(replica.View) {}, Log: logr.Discard(),
	}, stored)
	if err != nil {
		g.t.Fatal(err)
	}
	h.clock.last = g.now
	r.Host = h
}

func (g *levelGroup) runs(name string) bool {
	r := g.replicas[name]
	return !r.down && r.stopped == nil
}

// process lets a host do its work, and checks what it has applied.
func (g *levelGroup) process(name string) {
	r := g.replicas[name]
	r.stopped = r.process()
	var level *formlevel.Error
	if r.stopped != nil && !errors.As(r.stopped, &level) {
		g.t.Fatalf("%s has ended with %v", name, r.stopped)
	}
	if r.disk.savedLevel > r.level {
		g.t.Fatalf("%s of level %d has saved an entry of level %d", name, r.level, r.disk.savedLevel)
	}
	if r.stopped != nil {
		if r.level > 1 || !g.raised {
			g.t.Fatalf("%s of level %d has ended with %v; raised: %t", name, r.level, r.stopped, g.raised)
		}
		return
	}
	index := r.node.Applied()
	if index == r.compared {
		return
	}
	r.compared = index
	data, err := r.state.Snapshot()
	if err != nil {
		g.t.Fatal(err)
	}
	if before, ok := g.states[index]; ok && before != string(data) {
		g.t.Fatalf("%s has another state at %d than the others", name, index)
	}
	g.states[index] = string(data)
}

// checkRaise checks when the level is proposed that no voter runs a build that doesn't know it.
func (g *levelGroup) checkRaise(leader string) {
	before := g.replicas[leader].node.Status()
	holds := 0
	for _, v := range before.Membership.Voters {
		r := g.replicas[v.ID]
		if r.level < 2 && g.now-r.started > levelTick {
			g.t.Fatalf("the level was raised while %s runs a build that does not know it", v.ID)
		}
		if r.cut || r.down {
			holds++
		}
	}
	if !g.raised && holds > 1 {
		g.t.Fatalf("the level was raised while %d voters were down or cut off", holds)
	}
	g.raised = true
}

func (g *levelGroup) tick() {
	g.now += levelTick
	for _, name := range g.names {
		if !g.runs(name) {
			continue
		}
		r := g.replicas[name]
		r.clock.last = g.now
		r.node.Tick()
		last, _ := r.nextLevel()
		checked := r.levels.checkedAt
		_, holds := r.nextLevel()
		if err := r.raiseLevel(); err != nil {
			g.t.Fatal(err)
		}
		if r.levels.checkedAt != checked && len(holds) == 0 && last == 2 {
			g.checkRaise(name)
		}
		g.process(name)
	}
	for len(g.queue) > 0 {
		m := g.queue[0]
		g.queue = g.queue[1:]
		if r := g.replicas[m.To]; r != nil && g.runs(m.To) && !r.cut && !g.replicas[m.From].cut {
			r.handleMessage(m)
			g.process(m.To)
		}
	}
}

func (g *levelGroup) leader() *levelReplica {
	for _, name := range g.names {
		if r := g.replicas[name]; g.runs(name) && !r.cut && r.node.HasLease() {
			return r
		}
	}
	return nil
}

// propose proposes a command of the level, and returns the error of a refusal.
func (g *levelGroup) propose(level formlevel.Level) error {
	r := g.leader()
	if r == nil {
		return consensus.ErrNotLeader
	}
	data, err := replica.Command{Drain: &replica.Drain{Server: fmt.Sprint(g.rng.IntN(9)), On: g.rng.IntN(2) == 0}, Level: level}.Encode()
	if err != nil {
		g.t.Fatal(err)
	}
	p := &proposal{data: data, result: make(chan proposalResult, 1)}
	r.Host.propose(p)
	select {
	case result := <-p.result:
		return result.err
	default:
		return nil
	}
}

// disturb lets one thing happen to a replica: an end, a cut, a lost disk, or the other build.
func (g *levelGroup) disturb(levels []formlevel.Level) {
	name := g.names[g.rng.IntN(len(g.names))]
	r := g.replicas[name]
	away := 0
	for _, other := range g.names {
		if other != name && (!g.runs(other) || g.replicas[other].cut) {
			away++
		}
	}
	switch k := g.rng.IntN(20); {
	case !g.runs(name) || k < 6:
		g.start(name, levels[g.rng.IntN(len(levels))])
	case away > 1:
	case k < 9:
		r.down = true
	case k < 19:
		r.cut = !r.cut
	case away == 0 && !r.cut:
		r.disk = g.newDisk()
		g.start(name, r.level)
	}
}

func (g *levelGroup) heal(level formlevel.Level) {
	for _, name := range g.names {
		g.replicas[name].cut = false
		if r := g.replicas[name]; !g.runs(name) || r.level != level {
			g.start(name, level)
		}
	}
}

// Replicas of an older build skipped entries that they did not know, and their state differed from then on.
// Two levels run side by side under ends, cuts, lost disks and changes of the build.
func TestReplicasOfTwoLevelsNeverDiverge(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			g := newLevelGroup(t, seed)
			for _, levels := range [][]formlevel.Level{{1}, {1, 2}, {2, 2, 2, 1}, {2}} {
				for range 1200 {
					if g.rng.IntN(60) == 0 {
						g.disturb(levels)
					}
					level := formlevel.Level(1 + g.rng.IntN(2))
					if err := g.propose(level); err == nil && level == 2 && !g.raised {
						t.Fatal("a command of level 2 was accepted before the level was raised")
					}
					g.tick()
				}
			}
			// All have the newer build: the level comes into force, and an older build stops unchanged.
			g.heal(2)
			for range int(formlevel.SettleTime/levelTick) + 200 {
				g.tick()
			}
			is.Equal(g.leader().state.Level(), formlevel.Level(2))
			is.NoErr(g.propose(2))
			g.tick()
			name := g.names[slices.IndexFunc(g.names, func(name string) bool { return g.replicas[name] != g.leader() })]
			before := g.replicas[name].disk.stored
			g.start(name, 1)
			g.tick()
			var level *formlevel.Error
			is.True(errors.As(g.replicas[name].stopped, &level))
			is.Equal(g.replicas[name].disk.stored, before)
			// With an empty folder it receives the log, and stops before the first entry of the level.
			g.replicas[name].disk = g.newDisk()
			g.start(name, 1)
			for range 100 {
				g.tick()
			}
			is.True(errors.As(g.replicas[name].stopped, &level))
			is.NoErr(g.propose(2))
		})
	}
}

// One command of a newer build would stop all replicas if the leader appended it.
func TestCommandOfAHigherLevelIsRefusedByTheLeader(t *testing.T) {
	is := is.New(t)
	g := newLevelGroup(t, 1)
	for g.leader() == nil {
		g.tick()
	}
	is.NoErr(g.propose(1))
	var level *formlevel.Error
	is.True(errors.As(g.propose(2), &level))
	p := &proposal{data: []byte{0x7a, 0, 0xa2, 0x06, 0}, result: make(chan proposalResult, 1)} // field 100
	g.leader().Host.propose(p)
	is.True(errors.As((<-p.result).err, &level))
	is.Equal(level.Level, formlevel.Unknown)
}

// A committed entry that the build does not know was logged and skipped.
func TestUnknownCommittedEntryStopsTheReplica(t *testing.T) {
	is := is.New(t)
	stored := storedLog(t, 5)
	stored.Entries[1].Data = []byte{0xa2, 0x06, 0} // field 100
	is.True(checkStored(stored) != nil)
	h, err := NewHost(Options{
		ID: "kandy-1", Voters: []string{"kandy-1", "galle-1", "colombo-1"}, Storage: &failingStorage{}, Sender: discardSender{},
		OnView: func(replica.View) {}, Log: logr.Discard(),
	}, stored)
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	var level *formlevel.Error
	is.True(errors.As(h.Run(ctx), &level))
	is.Equal(h.state.Routing.Version, uint64(1))
}

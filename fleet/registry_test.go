package fleet

import (
	"testing"
	"time"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const lease = 2500 * time.Millisecond

// announcement is one announcement that a server made.
type announcement struct {
	at     time.Time
	server BackendServer
}

// queuedUpdate is an update in transit from one instance to another.
type queuedUpdate struct {
	sent   time.Time
	update Update
}

// link carries updates from one instance to another, in order and with any delay.
type link struct {
	feed     *Feed
	follower *Follower
	queue    []queuedUpdate
}

// simulation is three instances and two servers, with all announcements that were made.
type simulation struct {
	now           time.Time
	registries    []*Registry
	links         map[[2]int]*link
	servers       []BackendServer
	announcements []announcement
	// known holds, for each instance and server, the newest announcement that has reached the
	// instance.
	known []map[string]BackendServer
	// delayed holds announcements in the receive buffer of a paused instance.
	delayed [][]announcement
}

func newSimulation() *simulation {
	sim := &simulation{now: time.Unix(1000, 0), links: make(map[[2]int]*link)}
	for i := range 3 {
		sim.registries = append(sim.registries, NewRegistry())
		sim.known = append(sim.known, make(map[string]BackendServer))
		sim.delayed = append(sim.delayed, nil)
		for j := range 3 {
			if i != j {
				sim.links[[2]int{i, j}] = &link{feed: NewFeed(), follower: NewFollower()}
			}
		}
	}
	for _, name := range []string{"s0", "s1"} {
		sim.servers = append(sim.servers, BackendServer{Name: name, Incarnation: 1, Address: "127.0.0.1:1"})
	}
	return sim
}

// announce makes the server announce itself; receive delivers the announcement to an instance.
func (sim *simulation) announce(server int) announcement {
	s := &sim.servers[server]
	s.Sequence++
	a := announcement{at: sim.now, server: *s}
	sim.announcements = append(sim.announcements, a)
	return a
}

func (sim *simulation) receive(instance int, a announcement) {
	if _, err := sim.registries[instance].AnnounceUntil(sim.now, a.server, a.at.Add(lease)); err == nil {
		sim.recordKnown(instance, a.server)
	}
}

func (sim *simulation) recordKnown(instance int, s BackendServer) {
	old := sim.known[instance][s.Name]
	if s.Incarnation > old.Incarnation || s.Incarnation == old.Incarnation && s.Sequence >= old.Sequence {
		sim.known[instance][s.Name] = s
	}
}

func (sim *simulation) deliver(t *rapid.T, from, to int, early time.Duration) {
	l := sim.links[[2]int{from, to}]
	if len(l.queue) == 0 {
		return
	}
	f := l.queue[0]
	l.queue = l.queue[1:]
	if err := l.follower.Apply(sim.now, f.sent.Add(-early), f.update, sim.registries[to]); err != nil {
		t.Fatal(err)
	}
	for _, d := range f.update.Described {
		sim.recordKnown(to, d.Server)
	}
}

// check compares the registries with all announcements that were made.
func (sim *simulation) check(t *rapid.T) {
	for i, r := range sim.registries {
		for _, s := range r.Available(sim.now) {
			if !sim.hasLease(s) {
				t.Fatalf("instance %d uses %s incarnation %d, which has not announced itself for %v", i, s.Name, s.Incarnation, lease)
			}
			if k := sim.known[i][s.Name]; k.Incarnation == s.Incarnation && k.Leaving {
				t.Fatalf("instance %d uses %s, which it knows to be leaving", i, s.Name)
			}
		}
	}
}

// hasLease is the reference implementation: it searches all announcements that were made.
func (sim *simulation) hasLease(s BackendServer) bool {
	for _, a := range sim.announcements {
		if a.server.Name == s.Name && a.server.Incarnation == s.Incarnation && sim.now.Before(a.at.Add(lease)) {
			return true
		}
	}
	return false
}

func TestNoInstanceUsesAServerWithoutALease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		server := rapid.IntRange(0, 1)
		instance := rapid.IntRange(0, 2)
		pair := func(t *rapid.T) (int, int) {
			from := instance.Draw(t, "from")
			return from, (from + rapid.IntRange(1, 2).Draw(t, "to")) % 3
		}
		t.Repeat(map[string]func(*rapid.T){
			"": sim.check,
			"time": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"announce": func(t *rapid.T) { sim.receive(instance.Draw(t, "instance"), sim.announce(server.Draw(t, "server"))) },
			"announce late": func(t *rapid.T) {
				i := instance.Draw(t, "instance")
				sim.delayed[i] = append(sim.delayed[i], sim.announce(server.Draw(t, "server")))
			},
			"thaw": func(t *rapid.T) {
				i := instance.Draw(t, "instance")
				for _, a := range sim.delayed[i] {
					sim.receive(i, a)
				}
				sim.delayed[i] = nil
			},
			"leave":   func(t *rapid.T) { sim.servers[server.Draw(t, "server")].Leaving = true },
			"stay":    func(t *rapid.T) { sim.servers[server.Draw(t, "server")].Leaving = false },
			"restart": func(t *rapid.T) { s := &sim.servers[server.Draw(t, "server")]; s.Incarnation++; s.Sequence = 0 },
			"beat": func(t *rapid.T) {
				from, to := pair(t)
				l := sim.links[[2]int{from, to}]
				l.queue = append(l.queue, queuedUpdate{sent: sim.now, update: l.feed.Next(sim.now, sim.registries[from].Direct(sim.now))})
			},
			"deliver": func(t *rapid.T) {
				from, to := pair(t)
				sim.deliver(t, from, to, time.Duration(rapid.IntRange(0, 300).Draw(t, "early"))*time.Millisecond)
			},
			"reconnect": func(t *rapid.T) {
				from, to := pair(t)
				sim.links[[2]int{from, to}] = &link{feed: NewFeed(), follower: NewFollower()}
			},
		})
	})
}

// A server that announces itself is available at every instance that heartbeats reach.
func TestAnnouncedServersAreAvailableEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		at := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "move") == 0 {
				at = rapid.IntRange(0, 2).Draw(t, "at")
			}
			if rapid.IntRange(0, 5).Draw(t, "turn") == 0 {
				sim.servers[0].Leaving = !sim.servers[0].Leaving
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				sim.servers[0].Incarnation++
				sim.servers[0].Sequence = 0
			}
			sim.receive(at, sim.announce(0))
			for pair, l := range sim.links {
				l.queue = append(l.queue, queuedUpdate{sent: sim.now, update: l.feed.Next(sim.now, sim.registries[pair[0]].Direct(sim.now))})
				sim.deliver(t, pair[0], pair[1], 0)
			}
			for i, r := range sim.registries {
				available := r.Available(sim.now)
				if got := len(available) == 1; got == sim.servers[0].Leaving {
					t.Fatalf("instance %d: available %t, leaving %t", i, got, sim.servers[0].Leaving)
				}
				if len(available) == 1 && available[0].Incarnation != sim.servers[0].Incarnation {
					t.Fatalf("instance %d uses incarnation %d of %d", i, available[0].Incarnation, sim.servers[0].Incarnation)
				}
			}
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

func TestTwoServersWithOneName(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	first := BackendServer{Name: "s", Incarnation: 5, Sequence: 1, Address: "127.0.0.1:1"}
	newer := BackendServer{Name: "s", Incarnation: 6, Sequence: 1, Address: "127.0.0.2:1"}
	duplicate := BackendServer{Name: "s", Incarnation: 5, Sequence: 9, Address: "127.0.0.3:1"}
	r := NewRegistry()
	_, err := r.Announce(now, first, lease)
	is.NoErr(err)
	_, err = r.Announce(now, duplicate, lease)
	is.Equal(err, ErrNameTaken)
	is.Equal(r.Available(now)[0].Address, first.Address)
	_, err = r.Announce(now, newer, lease)
	is.NoErr(err)
	is.Equal(r.Available(now)[0].Address, newer.Address)
	first.Sequence++
	_, err = r.Announce(now, first, lease)
	is.Equal(err, ErrNameTaken)
	// An instance that receives the duplicate first makes the same choice.
	other := NewRegistry()
	is.NoErr(other.Merge(now, duplicate, now.Add(lease)))
	is.NoErr(other.Merge(now, first, now.Add(lease)))
	is.Equal(other.Available(now)[0].Address, first.Address)
	// The name is free again once the lease has expired.
	later := now.Add(lease)
	_, err = r.Announce(later, first, lease)
	is.NoErr(err)
}

func TestOlderAnnouncementDoesNotUndoLeaving(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := BackendServer{Name: "s", Incarnation: 1, Sequence: 9, Address: "127.0.0.1:1"}
	leaving := s
	leaving.Sequence = 10
	leaving.Leaving = true
	r := NewRegistry()
	is.NoErr(r.Merge(now, leaving, now.Add(lease)))
	is.NoErr(r.Merge(now, s, now.Add(lease)))
	is.Equal(len(r.Available(now)), 0)
	_, err := r.Announce(now, s, lease)
	is.Equal(err, ErrStale)
	// The announcement is refused even after the lease of the newer one has expired.
	_, err = r.Announce(now.Add(lease), s, lease)
	is.Equal(err, ErrStale)
}

func TestExpiredAnnouncementGrantsNoLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := BackendServer{Name: "s", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:1"}
	r := NewRegistry()
	_, err := r.AnnounceUntil(now, s, now)
	is.Equal(err, ErrStale)
	is.Equal(len(r.Available(now)), 0)
}

package membership

import (
	"fmt"
	"testing"
	"time"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// observation is one input to the table. The model keeps all of them.
type observation struct {
	incarnation uint64
	sent        time.Time
	until       time.Time // zero for a failure
	left        bool
}

// model decides whether a member is alive from all observations.
type model struct{ observations []observation }

func (m *model) newest() uint64 {
	var n uint64
	for _, e := range m.observations {
		n = max(n, e.incarnation)
	}
	return n
}

func (m *model) isAlive(now time.Time) bool {
	newest := m.newest()
	alive := false
	for _, e := range m.observations {
		switch {
		case e.incarnation != newest:
		case e.left:
			return false
		case e.until.IsZero():
			alive = false
		case now.Before(e.until):
			alive = true
		}
	}
	return alive
}

func TestMemberIsAliveAfterRecentHeartbeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := NewTable("self")
		table.Tick(now)
		m := &model{}
		lastSeen := time.Time{}
		incarnation := rapid.Uint64Range(1, 3)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				got, _ := table.Get("kandy-1")
				if IsAlive(got, now) != m.isAlive(now) {
					t.Fatalf("alive %t, want %t", IsAlive(got, now), m.isAlive(now))
				}
				if got.Incarnation != m.newest() {
					t.Fatalf("incarnation %d, want %d", got.Incarnation, m.newest())
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond)
				table.Tick(now)
			},
			"hear": func(t *rapid.T) {
				n := incarnation.Draw(t, "incarnation")
				sent := now.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * time.Millisecond)
				left := rapid.IntRange(0, 30).Draw(t, "left") == 0
				if !table.RecordHeartbeat(Member{Name: "kandy-1", Incarnation: n, Left: left}, sent, time.Second) {
					return
				}
				m.observations = append(m.observations, observation{incarnation: n, sent: sent, until: sent.Add(time.Second), left: left})
				if sent.After(lastSeen) || n == m.newest() {
					lastSeen = sent
				}
			},
			"learn": func(t *rapid.T) {
				n := incarnation.Draw(t, "incarnation")
				if table.MergePeerReport(now, Member{Name: "kandy-1", Incarnation: n}, now) {
					m.observations = append(m.observations, observation{incarnation: n, sent: now})
				}
			},
			"fail": func(t *rapid.T) {
				before, _ := table.Get("kandy-1")
				since := now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "since")) * time.Millisecond)
				table.MarkFailed(now, "kandy-1", since)
				if !before.LastSeen.After(since) {
					m.observations = append(m.observations, observation{incarnation: m.newest()})
				}
			},
		})
	})
}

func TestPausedInstanceExtendsLivenessOfPeers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table := NewTable("self")
	table.Tick(now)
	table.RecordHeartbeat(Member{Name: "kandy-1", Incarnation: 1}, now, time.Second)
	now = now.Add(10 * time.Second)
	table.Tick(now)
	m, _ := table.Get("kandy-1")
	is.True(IsAlive(m, now))
	// The member counts as failed if no further heartbeat arrives.
	for range 12 {
		now = now.Add(100 * time.Millisecond)
		table.Tick(now)
	}
	m, _ = table.Get("kandy-1")
	is.True(!IsAlive(m, now))
}

func TestOutdatedHeartbeatsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table := NewTable("self")
	is.True(table.RecordHeartbeat(Member{Name: "a", Incarnation: 2, Address: "new", SharedIndex: 9}, now, time.Second))
	is.True(!table.RecordHeartbeat(Member{Name: "a", Incarnation: 1, Address: "old"}, now, time.Second))
	is.True(!table.MergePeerReport(now, Member{Name: "a", Incarnation: 1, Address: "old"}, now))
	is.True(!table.RecordHeartbeat(Member{Name: "self", Incarnation: 9}, now, time.Second))
	is.True(table.RecordHeartbeat(Member{Name: "a", Incarnation: 2, Address: "new", SharedIndex: 3}, now, time.Second))
	m, _ := table.Get("a")
	is.Equal(m.Address, "new")
	is.Equal(m.SharedIndex, uint64(9))
	is.True(table.RecordHeartbeat(Member{Name: "a", Incarnation: 2, Left: true}, now, time.Second))
	is.True(!table.RecordHeartbeat(Member{Name: "a", Incarnation: 2}, now, time.Second))
	is.True(table.RecordHeartbeat(Member{Name: "a", Incarnation: 3}, now, time.Second))
}

func TestSilentMembersAreRemovedFromAllTables(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, b := NewTable("a"), NewTable("b")
	is.True(a.RecordHeartbeat(Member{Name: "c", Incarnation: 1}, now, time.Second))
	is.True(b.MergePeerReport(now, Member{Name: "c", Incarnation: 1}, now))
	for n := range 2400 {
		at := now.Add(time.Duration(n) * 500 * time.Millisecond)
		// Each instance keeps reporting the member to the other instance.
		a.Tick(at)
		for _, m := range b.Members() {
			a.MergePeerReport(at, m, m.LastSeen)
		}
		b.Tick(at)
		for _, m := range a.Members() {
			b.MergePeerReport(at, m, m.LastSeen)
		}
	}
	is.Equal(len(a.Members()), 0)
	is.Equal(len(b.Members()), 0)
}

func TestSubscriptionTargets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	self := Member{Name: "r1-1", Address: "r1-1", Region: "r1"}
	var members []Member
	for region := range 3 {
		for n := range 4 {
			name := fmt.Sprintf("r%d-%d", region+1, n+1)
			if name != self.Name {
				members = append(members, Member{Name: name, Address: name, Region: fmt.Sprintf("r%d", region+1), Control: n == 2})
			}
		}
	}
	// An instance subscribes to all members of its own region, and to one control instance of each
	// other region.
	is.Equal(SubscriptionTargets(self, members, []string{"seed", "r1-2"}, now), []string{"r1-2", "r1-3", "r1-4", "r2-3", "r3-3", "seed"})
	// While a control instance of its region is alive, an instance without a replica doesn't
	// subscribe to other regions.
	for i := range members {
		if members[i].Name == "r1-3" {
			members[i].AliveUntil = now.Add(time.Second)
		}
	}
	is.Equal(SubscriptionTargets(self, members, nil, now), []string{"r1-2", "r1-3", "r1-4"})
	self.Control = true
	for i := range members {
		if members[i].Name == "r2-3" {
			members[i].AliveUntil = now
		}
		if members[i].Name == "r1-4" {
			members[i].Left = true
		}
	}
	got := SubscriptionTargets(self, members, nil, now)
	is.Equal(len(got), 4)
	is.True(got[2] != "r2-3")
}

func TestViewGate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	g := NewViewGate(now)
	is.True(!g.IsOpen(now, 0, false))
	g.ObservePeerIndex(7)
	is.True(!g.IsOpen(now, 6, true)) // a peer has a newer view
	is.True(!g.IsOpen(now, 7, false))
	is.True(!g.IsOpen(now.Add(joinTimeout), 6, false))
	is.True(g.IsOpen(now.Add(joinTimeout), 7, false))
	g.ObservePeerIndex(8)
	is.True(g.IsOpen(now, 7, false))
	is.True(NewViewGate(now).IsOpen(now, 7, true))
	is.True(!NewViewGate(now).IsOpen(now.Add(joinTimeout), 0, true)) // never opens without a view
}

// A peer that is alive but whose connection is silent must be reached over a new connection
// before it counts as failed.
func TestConnectionTimesOutBeforePeerFails(t *testing.T) {
	is := is.New(t)
	for n := range 400 {
		interval := HeartbeatInterval(n)
		is.True(ConnectionTimeout(interval) > 2*interval)
		is.True(FailureTimeout(interval) > ConnectionTimeout(interval)+FirstHeartbeatTimeout())
	}
}

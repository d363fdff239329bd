// Package membership tracks the instances of the system: their addresses and versions, which of
// them are alive, which of them to subscribe to, and the notices that they share.
//
// Each instance decides by the heartbeats that it receives itself whether a peer is alive. No
// instance can declare another one failed, so a false detection needs no refutation by a third
// instance: the next heartbeat ends it.
package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// forgetAfter is the time after which a member that was not seen again is removed.
	forgetAfter = 10 * time.Minute
	// maxMembers bounds the known instances; further ones are rejected.
	maxMembers = 2048
	// pauseThreshold is the time between two ticks above which this process itself was paused,
	// so that missing heartbeats say nothing about the peers.
	pauseThreshold = 700 * time.Millisecond
)

// Member is what an instance reports about itself, and when it was last seen.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	// Region is a group of data centres whose backend servers are used together.
	Region string
	// Incarnation grows with every start of the instance.
	Incarnation uint64
	// Control is set if the instance keeps a replica of the shared state.
	Control bool
	// ConfigVersion and SharedIndex are the configuration version and the view index in force at
	// the member.
	ConfigVersion uint64
	SharedIndex   uint64
	// Leaving is set if the member accepts no new callers, Left if it has shut down.
	Leaving bool
	Left    bool
	// LastSeen is when the member last sent a heartbeat to this instance or, as a peer reports, to
	// another one. The time is by this instance's clock.
	LastSeen time.Time
	// AliveUntil is when the member counts as failed unless another heartbeat arrives. It is zero
	// if this instance has received none.
	AliveUntil time.Time
}

// IsAlive reports whether this instance received a heartbeat of the member recently.
func IsAlive(m Member, now time.Time) bool { return !m.Left && now.Before(m.AliveUntil) }

// Table holds the members known to an instance, without the instance itself. It is not safe for
// concurrent use.
type Table struct {
	self     string
	members  map[string]Member
	lastTick time.Time
}

// NewTable returns an empty table for the named instance.
func NewTable(self string) *Table {
	return &Table{self: self, members: make(map[string]Member)}
}

// RecordHeartbeat records a heartbeat that the member m sent to this instance at the given time
// or later. The member stays alive for the given duration after that time, or until a later
// heartbeat extends it. RecordHeartbeat ignores the heartbeat and returns false if it is from an
// older incarnation, from an incarnation that has left, or carries no name or this instance's
// own name, or if the table is full.
func (t *Table) RecordHeartbeat(m Member, sent time.Time, alive time.Duration) bool {
	old, ok := t.members[m.Name]
	if !t.isAcceptable(m, old, ok) {
		return false
	}
	m.LastSeen = sent
	m.AliveUntil = sent.Add(alive)
	if ok && old.Incarnation == m.Incarnation {
		m.Leaving = m.Leaving || old.Leaving
		m.SharedIndex = max(m.SharedIndex, old.SharedIndex)
		m.ConfigVersion = max(m.ConfigVersion, old.ConfigVersion)
		m.LastSeen = latest(m.LastSeen, old.LastSeen)
		m.AliveUntil = latest(m.AliveUntil, old.AliveUntil)
	}
	if m.Left {
		m.AliveUntil = time.Time{}
	}
	t.members[m.Name] = m
	return true
}

// MergePeerReport merges what another instance reports about m, which was last seen at the given
// time. The report doesn't make m alive. MergePeerReport returns true if m or its incarnation is
// new.
func (t *Table) MergePeerReport(now time.Time, m Member, lastSeen time.Time) bool {
	old, ok := t.members[m.Name]
	if !t.isAcceptable(m, old, ok) || now.Sub(lastSeen) > forgetAfter {
		return false
	}
	if !ok || m.Incarnation > old.Incarnation {
		m.LastSeen = lastSeen
		m.AliveUntil = time.Time{}
		t.members[m.Name] = m
		return true
	}
	if m.Left {
		// This incarnation can send nothing after it has left.
		old.Left = true
		old.AliveUntil = time.Time{}
	}
	if lastSeen.After(old.LastSeen) && !old.AliveUntil.After(old.LastSeen) {
		old.LastSeen = lastSeen
		old.SharedIndex = max(old.SharedIndex, m.SharedIndex)
		old.ConfigVersion = max(old.ConfigVersion, m.ConfigVersion)
	}
	t.members[m.Name] = old
	return false
}

func (t *Table) isAcceptable(m, old Member, known bool) bool {
	if m.Name == "" || m.Name == t.self {
		return false
	}
	if !known {
		return len(t.members) < maxMembers
	}
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return !old.Left
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// MarkFailed records that the member sent no heartbeat over a new connection. The connection attempt
// began at the time since, after the previous connection had ended. The member counts as failed until
// its next heartbeat. MarkFailed has no effect if the member has sent a heartbeat after since.
func (t *Table) MarkFailed(now time.Time, name string, since time.Time) {
	m, ok := t.members[name]
	if !ok || m.LastSeen.After(since) || !now.Before(m.AliveUntil) {
		return
	}
	m.AliveUntil = now
	t.members[name] = m
}

// Tick must be called regularly. It removes members that have been silent for long, and extends the
// liveness of all members if this process was paused.
func (t *Table) Tick(now time.Time) {
	gap := now.Sub(t.lastTick)
	if !t.lastTick.IsZero() && gap > pauseThreshold {
		for name, m := range t.members {
			if m.AliveUntil.After(t.lastTick) {
				m.AliveUntil = m.AliveUntil.Add(gap)
				t.members[name] = m
			}
		}
	}
	t.lastTick = now
	for name, m := range t.members {
		if now.Sub(m.LastSeen) > forgetAfter && !IsAlive(m, now) {
			delete(t.members, name)
		}
	}
}

// Get returns a member by name.
func (t *Table) Get(name string) (Member, bool) {
	m, ok := t.members[name]
	return m, ok
}

// Len returns the number of known members.
func (t *Table) Len() int { return len(t.members) }

// Members returns all known members, sorted by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

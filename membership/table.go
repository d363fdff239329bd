// Package membership knows the instances of the system: who they are, which of them are
// alive, whom to subscribe to, and what small facts they share.
//
// Each instance judges the others by what it receives from them itself. No instance can
// declare another one failed, so a wrong suspicion needs no refutation by a third: the next
// sign of life ends it.
package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// forgetAfter is the silence after which an instance is forgotten.
	forgetAfter = 10 * time.Minute
	// maxMembers bounds the instances that are known; more are refused.
	maxMembers = 2048
	// pauseThreshold is the time between two ticks above which this instance itself has been
	// frozen, so that the silence of the others says nothing.
	pauseThreshold = 700 * time.Millisecond
)

// Member is what one instance says of itself.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	// Region holds the data centres whose backend servers are used together.
	Region string
	// Incarnation grows with every start of the instance.
	Incarnation uint64
	// Control says that the instance keeps a replica of the shared state.
	Control bool
	// ConfigVersion and SharedIndex are in force at the member.
	ConfigVersion uint64
	SharedIndex   uint64
	// Leaving means that the member takes no new callers, Left that it has ended.
	Leaving bool
	Left    bool
	// LastSeen is when the member last gave a sign of life, by this instance's clock.
	LastSeen time.Time
	// AliveUntil is when the member counts as failed unless it is heard again. Zero: it has
	// not been heard by this instance.
	AliveUntil time.Time
}

// IsAlive reports whether the member was heard lately by this instance.
func IsAlive(m Member, now time.Time) bool { return !m.Left && now.Before(m.AliveUntil) }

// Table holds the members that an instance knows, without the instance itself.
type Table struct {
	self    string
	members map[string]Member
	ticked  time.Time
}

// NewTable returns an empty table for the named instance.
func NewTable(self string) *Table {
	return &Table{self: self, members: make(map[string]Member)}
}

// RecordHeartbeat takes a sign of life that the member m sent to this instance itself, at the earliest
// at the time given; the member is alive for so long after it unless it is heard again. RecordHeartbeat
// reports false for a sign of an older incarnation, of one that has left, or of this
// instance's own name, which has no effect.
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

// MergePeerReport takes over what another instance knows of m, who was heard at the time given. It
// is no sign of life. MergePeerReport reports whether it was news.
func (t *Table) MergePeerReport(now time.Time, m Member, heard time.Time) bool {
	old, ok := t.members[m.Name]
	if !t.isAcceptable(m, old, ok) || now.Sub(heard) > forgetAfter {
		return false
	}
	if !ok || m.Incarnation > old.Incarnation {
		m.LastSeen = heard
		m.AliveUntil = time.Time{}
		t.members[m.Name] = m
		return true
	}
	if m.Left {
		// Nothing can be heard of this incarnation after its end.
		old.Left = true
		old.AliveUntil = time.Time{}
	}
	if heard.After(old.LastSeen) && !old.AliveUntil.After(old.LastSeen) {
		old.LastSeen = heard
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

// MarkFailed takes that the member gave no answer over a new connection that was tried since the
// time given, after the connection before had ended. The member has failed unless it was
// heard since, and until it is heard again.
func (t *Table) MarkFailed(now time.Time, name string, since time.Time) {
	m, ok := t.members[name]
	if !ok || m.LastSeen.After(since) || !now.Before(m.AliveUntil) {
		return
	}
	m.AliveUntil = now
	t.members[name] = m
}

// Tick is called often. It forgets members that have been silent for long, and gives all of
// them more time when this instance has been frozen.
func (t *Table) Tick(now time.Time) {
	gap := now.Sub(t.ticked)
	if !t.ticked.IsZero() && gap > pauseThreshold {
		for name, m := range t.members {
			if m.AliveUntil.After(t.ticked) {
				m.AliveUntil = m.AliveUntil.Add(gap)
				t.members[name] = m
			}
		}
	}
	t.ticked = now
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

// Members returns all known members, by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

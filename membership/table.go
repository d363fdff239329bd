// Package membership knows the instances of the system and which of them are alive.
package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// failAfter is the silence after which an instance counts as failed.
	failAfter = 1500 * time.Millisecond
	// forgetAfter is the silence after which an instance is forgotten.
	forgetAfter = 10 * time.Minute
)

// Member is one instance.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	// Incarnation grows with every start of the instance.
	Incarnation uint64
	// ConfigVersion and SharedIndex are in force at the member.
	ConfigVersion uint64
	SharedIndex   uint64
	Leaving       bool
	// Heard is when the member last gave a sign of life, by this instance's clock.
	Heard time.Time
}

// Table holds the members that an instance knows, without the instance itself.
type Table struct {
	self    string
	members map[string]Member
}

// NewTable returns an empty table for the named instance.
func NewTable(self string) *Table {
	return &Table{self: self, members: make(map[string]Member)}
}

// Merge takes over what was heard of a member. An older incarnation never replaces a newer
// one, and an older sign of life never replaces a later one.
func (t *Table) Merge(m Member) {
	if m.Name == "" || m.Name == t.self {
		return
	}
	old, ok := t.members[m.Name]
	if ok && m.Incarnation < old.Incarnation {
		return
	}
	if ok && m.Incarnation == old.Incarnation && !m.Heard.After(old.Heard) {
		return
	}
	t.members[m.Name] = m
}

// Expire forgets the members that have been silent for long.
func (t *Table) Expire(now time.Time) {
	for name, m := range t.members {
		if now.Sub(m.Heard) > forgetAfter {
			delete(t.members, name)
		}
	}
}

// IsAlive reports whether the member was heard lately.
func IsAlive(m Member, now time.Time) bool { return now.Sub(m.Heard) <= failAfter }

// Members returns all known members, by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

package mesh

import (
	"time"
)

const (
	// watchersPerTurn is the number of watchers that are woken at the same time.
	watchersPerTurn = 32
	// turnInterval is the shortest time between two turns. With watchersPerTurn, it bounds the
	// heartbeats that changes cause at a control instance to 4,000 a second, whatever the number of
	// watchers. Between two turns, announcements and consensus messages are handled.
	turnInterval = 8 * time.Millisecond
	// minWakeInterval is the shortest time between two turns of the same watchers. Changes within it
	// are sent in one heartbeat.
	minWakeInterval = 20 * time.Millisecond
)

// wakeGroup is a set of up to watchersPerTurn watchers that are woken together.
type wakeGroup struct {
	members int
	// woken is closed and replaced when the group is woken.
	woken     chan struct{}
	wokenAt   time.Time
	hasChange bool // something has changed since wokenAt
}

// wakeSchedule decides when the watchers of a control instance are woken after a change: in groups
// that take turns. It is not safe for concurrent use.
type wakeSchedule struct {
	groups []*wakeGroup
	// next is the index of the group that is considered first in the next turn.
	next     int
	lastTurn time.Time
}

// join returns the group of a new watcher.
func (s *wakeSchedule) join() *wakeGroup {
	for _, g := range s.groups {
		if g.members < watchersPerTurn {
			g.members++
			return g
		}
	}
	g := &wakeGroup{members: 1, woken: make(chan struct{})}
	s.groups = append(s.groups, g)
	return g
}

// markChange records that all watchers have to be woken.
func (s *wakeSchedule) markChange() {
	for _, g := range s.groups {
		g.hasChange = g.members > 0
	}
}

// wakeNext wakes a group if one is due. It returns the time until the next turn, and false if no
// group has to be woken.
func (s *wakeSchedule) wakeNext(now time.Time) (time.Duration, bool) {
	if wait := s.lastTurn.Add(turnInterval).Sub(now); wait > 0 {
		return wait, s.hasChange()
	}
	for i := range s.groups {
		k := (s.next + i) % len(s.groups)
		g := s.groups[k]
		if !g.hasChange || now.Sub(g.wokenAt) < minWakeInterval {
			continue
		}
		s.next, s.lastTurn = k+1, now
		g.hasChange, g.wokenAt = false, now
		close(g.woken)
		g.woken = make(chan struct{})
		break
	}
	return s.untilNextTurn(now), s.hasChange()
}

func (s *wakeSchedule) hasChange() bool {
	for _, g := range s.groups {
		if g.hasChange {
			return true
		}
	}
	return false
}

// untilNextTurn returns the time until a group with a change may be woken.
func (s *wakeSchedule) untilNextTurn(now time.Time) time.Duration {
	wait := minWakeInterval
	for _, g := range s.groups {
		if g.hasChange {
			wait = min(wait, g.wokenAt.Add(minWakeInterval).Sub(now))
		}
	}
	return max(wait, s.lastTurn.Add(turnInterval).Sub(now))
}

package mesh

import (
	"time"
)

const (
	// watchersPerTurn is the number of watchers that are woken at the same time.
	watchersPerTurn = 32
	// turnInterval is the shortest time between two turns. Between two turns, announcements and consensus messages are
	// handled.
	turnInterval = 8 * time.Millisecond
)

// waker wakes one watcher.
type waker struct {
	// woken is closed and replaced when the watcher is woken.
	woken chan struct{}
}

func newWaker() *waker { return &waker{woken: make(chan struct{})} }

func (w *waker) wake() {
	close(w.woken)
	w.woken = make(chan struct{})
}

// wakeGroup is a set of up to watchersPerTurn watchers that are woken together.
type wakeGroup struct {
	watchers map[*waker]bool
	// isUrgent is set for the control instances, which are woken after minWakeInterval whatever their number.
	isUrgent  bool
	wokenAt   time.Time
	hasChange bool // something has changed since wokenAt
}

// wakeSchedule decides when the watchers of a control instance are woken after a change: in groups
// that take turns. It is not safe for concurrent use.
type wakeSchedule struct {
	groups []*wakeGroup
	// watchers counts the members of all groups.
	watchers int
	// next is the index of the group that is considered first in the next turn.
	next     int
	lastTurn time.Time
}

// join adds a new watcher to a group. Control instances have groups of their own.
func (s *wakeSchedule) join(w *waker, isUrgent bool) *wakeGroup {
	s.watchers++
	for _, g := range s.groups {
		if len(g.watchers) < watchersPerTurn && g.isUrgent == isUrgent {
			g.watchers[w] = true
			return g
		}
	}
	g := &wakeGroup{watchers: map[*waker]bool{w: true}, isUrgent: isUrgent}
	s.groups = append(s.groups, g)
	return g
}

// leave removes a watcher from its group.
func (s *wakeSchedule) leave(g *wakeGroup, w *waker) {
	s.watchers--
	delete(g.watchers, w)
}

// interval returns the shortest time between two turns of a group.
func (s *wakeSchedule) interval(g *wakeGroup) time.Duration {
	if g.isUrgent {
		return minWakeInterval
	}
	return wakeInterval(s.watchers)
}

// markChange records that all watchers have to be woken.
func (s *wakeSchedule) markChange() {
	for _, g := range s.groups {
		g.hasChange = len(g.watchers) > 0
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
		if !g.hasChange || now.Sub(g.wokenAt) < s.interval(g) {
			continue
		}
		s.next, s.lastTurn = k+1, now
		g.hasChange, g.wokenAt = false, now
		for w := range g.watchers {
			w.wake()
		}
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
	wait := maxWakeInterval
	for _, g := range s.groups {
		if g.hasChange {
			wait = min(wait, g.wokenAt.Add(s.interval(g)).Sub(now))
		}
	}
	return max(wait, s.lastTurn.Add(turnInterval).Sub(now))
}

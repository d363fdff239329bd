package quarantine

import (
	"slices"
	"time"
)

const (
	// commonCauseWindow is the time within which crashes of several servers are taken to have a
	// common cause, such as a lost rack. It is longer than a server that stops announcing itself
	// takes to be noticed.
	commonCauseWindow = 5 * time.Second
	// commonCauseServers is the number of further servers that must crash within the window.
	commonCauseServers = 2
	// maxExcused bounds the crashes of one content that a common cause can explain, so that a
	// content that crashes servers is found also while other servers crash.
	maxExcused = 2
	// maxServerCrashes bounds the crashes of servers that are remembered.
	maxServerCrashes = 1024
)

// Crash identifies the unplanned end of one incarnation of a backend server.
type Crash struct {
	Server      string
	Incarnation uint64
}

// serverCrash is a crash of a server, whatever it was running.
type serverCrash struct {
	Crash
	at time.Time
}

// history holds the latest crashes of all servers, by time.
type history struct{ crashes []serverCrash }

// add records a crash, unless it is known.
func (h *history) add(now time.Time, c Crash) {
	h.crashes = slices.DeleteFunc(h.crashes, func(s serverCrash) bool { return now.Sub(s.at) > TTL })
	if slices.ContainsFunc(h.crashes, func(s serverCrash) bool { return s.Crash == c }) {
		return
	}
	if len(h.crashes) >= maxServerCrashes {
		h.crashes = slices.Delete(h.crashes, 0, 1)
	}
	i := h.firstSince(now.Add(1))
	h.crashes = slices.Insert(h.crashes, i, serverCrash{Crash: c, at: now})
}

// firstSince returns the index of the first crash at or after a time.
func (h *history) firstSince(t time.Time) int {
	i, _ := slices.BinarySearchFunc(h.crashes, t, func(s serverCrash, t time.Time) int { return s.at.Compare(t) })
	return i
}

// around returns the crashes within a window around a time. They must not be modified.
func (h *history) around(at time.Time, window time.Duration) []serverCrash {
	return h.crashes[h.firstSince(at.Add(-window)):h.firstSince(at.Add(window+1))]
}

func (h *history) remove(c Crash) {
	h.crashes = slices.DeleteFunc(h.crashes, func(s serverCrash) bool { return s.Crash == c })
}

// hasCommonCause reports whether enough servers that didn't run a content crashed at about the given
// time. ranOn reports whether the content was running on a server when it crashed.
func (h *history) hasCommonCause(at time.Time, ranOn func(Crash) bool) bool {
	return h.coincides(at, commonCauseWindow, ranOn, commonCauseServers)
}

// coincides reports whether at least count servers that didn't run a content crashed within a window
// around the given time.
func (h *history) coincides(at time.Time, window time.Duration, ranOn func(Crash) bool, count int) bool {
	others := 0
	for _, s := range h.around(at, window) {
		if ranOn(s.Crash) {
			continue
		}
		if others++; others >= count {
			return true
		}
	}
	return false
}

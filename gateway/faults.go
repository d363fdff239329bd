package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// unresponsiveFor is how long an unresponsive server is excluded after the last failure. By the
	// end of that time the control instances report the server as silent, unless the server works.
	// With 1.5 s, each gateway lost a second draft to the same server.
	unresponsiveFor = 3500 * time.Millisecond
	// refusalFor is how long a server is excluded after it refused its part of a path, possibly for
	// lack of memory.
	refusalFor = 150 * time.Millisecond
	// staleLayersFor is how long a server is excluded after it refused layers that it was expected
	// to hold but does not hold. The server announces its current layers within that time.
	staleLayersFor = 1200 * time.Millisecond
)

// observer tells whose exchange with a server has shown a fault.
type observer int

const (
	// observedElsewhere means that another backend server has not heard from the server. Only a draft
	// that goes on through both shows that they reach each other again.
	observedElsewhere observer = iota
	// observedHere means that the server has not answered this instance.
	observedHere
)

// serverFaults records which servers must not be used in paths now. It is safe for concurrent use.
type serverFaults struct {
	mu sync.Mutex
	// unresponsive holds, by server, the time until which the server is excluded as unresponsive.
	unresponsive map[string]time.Time
	// refusing holds, by server, the time until which the server is excluded for a refusal.
	refusing map[string]time.Time
	// unrecovered holds the servers that were unresponsive and have not been seen working since.
	// Those that are also silent stay excluded until one of their announcements is received.
	unrecovered map[string]bool
	// checkedAt holds the unresponsive servers, with the time of the last check whether they answer
	// again.
	checkedAt map[string]time.Time
	// answering holds the unresponsive servers that answer this instance, but that another server has
	// not heard from.
	answering map[string]bool
	// observedHere holds the unresponsive servers that have not answered this instance.
	observedHere map[string]bool
}

func newServerFaults() *serverFaults {
	return &serverFaults{
		unresponsive: make(map[string]time.Time),
		refusing:     make(map[string]time.Time),
		unrecovered:  make(map[string]bool),
		checkedAt:    make(map[string]time.Time),
		answering:    make(map[string]bool),
		observedHere: make(map[string]bool),
	}
}

// markUnresponsive excludes a server as unresponsive. It returns false if the server was already
// excluded as unresponsive.
func (f *serverFaults) markUnresponsive(now time.Time, id string, by observer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, isChecked := f.checkedAt[id]; !isChecked {
		f.checkedAt[id] = now
	}
	if by == observedHere {
		f.observedHere[id] = true
	}
	delete(f.answering, id)
	until, known := f.unresponsive[id]
	f.unresponsive[id] = now.Add(unresponsiveFor)
	f.unrecovered[id] = true
	return !known || now.After(until)
}

// markRefusing excludes a server for a time because it refused its part of a path, or sent bytes that
// are no answer. A longer exclusion that has begun before stays.
func (f *serverFaults) markRefusing(now time.Time, id string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until := now.Add(d); until.After(f.refusing[id]) {
		f.refusing[id] = until
	}
}

// isExcluded reports whether a server is excluded as unresponsive or for a refusal.
func (f *serverFaults) isExcluded(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.unresponsive[id]) || now.Before(f.refusing[id])
}

// isUnresponsive reports whether a server is excluded as unresponsive.
func (f *serverFaults) isUnresponsive(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.unresponsive[id])
}

// reset removes the faults of a server that were recorded before it was restarted.
func (f *serverFaults) reset(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unresponsive, id)
	delete(f.refusing, id)
	delete(f.unrecovered, id)
	f.endChecks(id)
}

// endChecks removes what is recorded for the checks of an unresponsive server. The caller holds the lock.
func (f *serverFaults) endChecks(id string) {
	delete(f.checkedAt, id)
	delete(f.answering, id)
	delete(f.observedHere, id)
}

// markRecovered records that a server has completed its part of a draft, or that its announcements
// are received again.
func (f *serverFaults) markRecovered(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unrecovered, id)
}

// clearUnresponsive records that a server works after all. It reports whether the server was excluded as
// unresponsive.
func (f *serverFaults) clearUnresponsive(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, wasUnresponsive := f.unresponsive[id]
	delete(f.unresponsive, id)
	delete(f.unrecovered, id)
	f.endChecks(id)
	return wasUnresponsive
}

// recordAnswer records that an unresponsive server has answered a check. It reports whether that shows
// that the server works: a server that another one has not heard from may still be cut off from it.
func (f *serverFaults) recordAnswer(id string) (isResponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, isChecked := f.checkedAt[id]; isChecked && !f.observedHere[id] {
		f.answering[id] = true
		return false
	}
	return true
}

// isAnswering reports whether an unresponsive server answers this instance.
func (f *serverFaults) isAnswering(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answering[id]
}

// hasAnswering reports whether any unresponsive server answers this instance.
func (f *serverFaults) hasAnswering() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.answering) > 0
}

// dueChecks returns the unresponsive servers that were not checked within responsiveCheckInterval, and
// marks them as checked now.
func (f *serverFaults) dueChecks(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id, at := range f.checkedAt {
		switch {
		case !now.Before(f.unresponsive[id]):
			f.endChecks(id)
		case now.Sub(at) >= responsiveCheckInterval:
			f.checkedAt[id] = now
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// listUnreached returns those of the servers that have not answered this instance.
func (f *serverFaults) listUnreached(ids []string) (out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if f.observedHere[id] {
			out = append(out, id)
		}
	}
	return out
}

// clearUnreached records that the servers that have not answered this instance may work, and returns them.
func (f *serverFaults) clearUnreached() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.observedHere {
		ids = append(ids, id)
		delete(f.unresponsive, id)
		delete(f.unrecovered, id)
		f.endChecks(id)
	}
	return ids
}

// isUnrecovered reports whether a server was unresponsive and has not been seen working since.
func (f *serverFaults) isUnrecovered(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unrecovered[id]
}

// listUnresponsive returns the unresponsive servers, including silent ones that have not recovered
// from being unresponsive. It also removes expired records.
func (f *serverFaults) listUnresponsive(now time.Time, isSilent, isKnown func(id string) bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id := range f.unrecovered {
		if !isKnown(id) {
			delete(f.unrecovered, id)
			continue
		}
		if isSilent(id) && !now.Before(f.unresponsive[id]) {
			out = append(out, id)
		}
	}
	for id, until := range f.unresponsive {
		if now.Before(until) {
			out = append(out, id)
			continue
		}
		delete(f.unresponsive, id)
	}
	for id, until := range f.refusing {
		if !now.Before(until) {
			delete(f.refusing, id)
		}
	}
	slices.Sort(out)
	return out
}

package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// deadFor is for how long a server that gave no sign of life is left out after the last
	// proof; by then the control instances call it silent, unless it works. With 1.5 s each
	// gateway lost a second draft to it.
	deadFor = 3500 * time.Millisecond
	// shortFor is for how long a server is left out that could not take its part of a path,
	// for which lack of memory may be the reason.
	shortFor = 150 * time.Millisecond
	// staleFor is for how long a server is left out that does not hold the layers it was
	// thought to hold; it announces itself within that time.
	staleFor = 1200 * time.Millisecond
)

// faults remembers which servers of paths can't be used now. It is safe for concurrent use.
type faults struct {
	mu sync.Mutex
	// dead servers gave no sign of life: until when they are left out, by server.
	dead map[string]time.Time
	// refusing servers did not take their part.
	refusing map[string]time.Time
	// condemned servers were dead and have shown no life since. Silent ones among them are
	// left out until they are heard again.
	condemned map[string]bool
}

func newFaults() *faults {
	return &faults{dead: make(map[string]time.Time), refusing: make(map[string]time.Time), condemned: make(map[string]bool)}
}

// died notes that a server gives no sign of life. It reports whether that is news.
func (f *faults) died(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, known := f.dead[id]
	f.dead[id] = now.Add(deadFor)
	f.condemned[id] = true
	return !known || now.After(until)
}

// refused notes that a server did not take its part.
func (f *faults) refused(now time.Time, id string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusing[id] = now.Add(d)
}

// avoids reports whether a server is left out.
func (f *faults) avoids(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.dead[id]) || now.Before(f.refusing[id])
}

// isDead reports whether a server gave no sign of life lately.
func (f *faults) isDead(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.dead[id])
}

// restarted forgets what was known of an earlier start of a server.
func (f *faults) restarted(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.dead, id)
	delete(f.refusing, id)
	delete(f.condemned, id)
}

// lives notes that a server has done its part, or was heard anew.
func (f *faults) lives(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.condemned, id)
}

// isCondemned reports whether a server was dead and has shown no life since.
func (f *faults) isCondemned(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.condemned[id]
}

// listDead returns the servers that give no sign of life, those included that are silent and
// were dead before, and forgets what has run out.
func (f *faults) listDead(now time.Time, isSilent, isKnown func(id string) bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id := range f.condemned {
		if !isKnown(id) {
			delete(f.condemned, id)
			continue
		}
		if isSilent(id) && !now.Before(f.dead[id]) {
			out = append(out, id)
		}
	}
	for id, until := range f.dead {
		if now.Before(until) {
			out = append(out, id)
			continue
		}
		delete(f.dead, id)
	}
	for id, until := range f.refusing {
		if !now.Before(until) {
			delete(f.refusing, id)
		}
	}
	slices.Sort(out)
	return out
}

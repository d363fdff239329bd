package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxRank is the least urgent rank; requests with a higher one count as of this rank.
	MaxRank = 9
	// LateRank is the rank at which late requests of all ranks are reported. They come after all others.
	LateRank = MaxRank + 1
)

// class holds the requests of a pool that have the same rank, or the late ones of all ranks.
type class struct {
	rank       int
	workspaces map[string]*workspace
	running    int
	// virtualTime is the virtual time of the weighted fair queue of workspaces.
	virtualTime float64
	// limit is this instance's part of the capacity that the class is granted, in requests.
	limit float64
	// places are the requests that the class may run while the pool's isRanked is set.
	places places
	// arrivals is a moving average of arrivals a second, as of arrivedAt.
	arrivals  float64
	arrivedAt time.Time
}

func newClass(rank int) *class {
	return &class{rank: rank, workspaces: make(map[string]*workspace)}
}

// isLate reports whether the class holds the late requests. They form one queue for all workspaces.
func (k *class) isLate() bool { return k.rank == LateRank }

// workspace returns the queue of a workspace.
func (k *class) workspace(name string, share int) *workspace {
	if k.isLate() {
		name, share = "", 1
	}
	w, ok := k.workspaces[name]
	if !ok {
		w = &workspace{name: name, virtualTime: k.virtualTime}
		k.workspaces[name] = w
	}
	w.share = max(1, share)
	return w
}

// maxIdleWorkspaces bounds the workspaces without demand that a class keeps.
const maxIdleWorkspaces = 256

// removeIdle removes the workspaces without demand, to bound the number of workspaces by the number of
// requests and maxIdleWorkspaces. Up to that bound, workspaces whose virtual time is ahead of the class's
// are kept: if such a workspace were removed, its next request would start from the class's virtual time,
// that is, too early.
func (k *class) removeIdle() {
	var idle []*workspace
	for name, w := range k.workspaces {
		switch {
		case w.demand() > 0:
		case w.virtualTime <= k.virtualTime:
			delete(k.workspaces, name)
		default:
			idle = append(idle, w)
		}
	}
	if len(idle) <= maxIdleWorkspaces {
		return
	}
	// Half of them stay, so that most calls need no sorting.
	slices.SortFunc(idle, func(a, b *workspace) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.name, b.name))
	})
	for _, w := range idle[:len(idle)-maxIdleWorkspaces/2] {
		delete(k.workspaces, w.name)
	}
}

func (k *class) queued() int {
	n := 0
	for _, w := range k.workspaces {
		n += len(w.waiting)
	}
	return n
}

// withWaiting returns the workspaces with waiting requests, by name.
func (k *class) withWaiting() []*workspace {
	var out []*workspace
	for _, w := range k.workspaces {
		if len(w.waiting) > 0 {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *workspace) int { return cmp.Compare(a.name, b.name) })
	return out
}

// nextWorkspace returns the workspace whose request starts next, or nil if none waits. It is the one that was
// served least in proportion to its granted capacity.
func (k *class) nextWorkspace() *workspace {
	var best *workspace
	for _, w := range k.workspaces {
		if len(w.waiting) > 0 && (best == nil || w.startsBefore(best)) {
			best = w
		}
	}
	return best
}

// charge advances the workspace's virtual time by the request's size divided by the workspace's
// limit at this instance. Each instance thus serves the workspace in proportion to its limit there,
// and the limits of all instances add up to the workspace's granted capacity.
func (k *class) charge(w *workspace, e *entry) {
	k.virtualTime = max(k.virtualTime, min(w.virtualTime, k.minVirtualTime(w.virtualTime)))
	e.charged = float64(1+e.Tokens) / max(w.limit, minLimit)
	w.virtualTime = max(w.virtualTime, k.virtualTime) + e.charged
}

// minVirtualTime returns the least of a workspace's own virtual time and those of the workspaces
// with waiting requests.
func (k *class) minVirtualTime(own float64) float64 {
	least := own
	for _, w := range k.workspaces {
		if len(w.waiting) > 0 {
			least = min(least, w.virtualTime)
		}
	}
	return least
}

// arrivalMemory is the time constant of the moving average of arrivals.
const arrivalMemory = time.Second

func (k *class) observeArrival(now time.Time) {
	k.arrivals = k.arrivalRate(now) + 1/arrivalMemory.Seconds()
	k.arrivedAt = now
}

// arrivalRate returns the arrivals a second.
func (k *class) arrivalRate(now time.Time) float64 {
	age := max(0, now.Sub(k.arrivedAt))
	return k.arrivals * math.Exp(-age.Seconds()/arrivalMemory.Seconds())
}

// workspace is one workspace's state in a class.
type workspace struct {
	name    string
	share   int
	running int
	// waiting is ordered by rank, which is the same but among late requests, then by dueAt, then by arrival.
	waiting []*entry
	// limit is this instance's part of the workspace's granted capacity, in requests.
	limit float64
	// virtualTime is the virtual time at which the workspace may start its next request.
	virtualTime float64
}

func (w *workspace) demand() int { return w.running + len(w.waiting) }

func (w *workspace) add(e *entry) {
	i, _ := slices.BinarySearchFunc(w.waiting, e, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.dueAt.Compare(b.dueAt), cmp.Compare(a.number, b.number))
	})
	w.waiting = slices.Insert(w.waiting, i, e)
}

func (w *workspace) remove(e *entry) {
	if i := slices.Index(w.waiting, e); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}

func (w *workspace) startsBefore(o *workspace) bool {
	if w.virtualTime != o.virtualTime {
		return w.virtualTime < o.virtualTime
	}
	if d := w.waiting[0].dueAt.Compare(o.waiting[0].dueAt); d != 0 {
		return d < 0
	}
	return w.name < o.name
}

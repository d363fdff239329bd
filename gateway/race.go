package gateway

import (
	"errors"
	"slices"
	"sync"
)

// maxParallelAttempts bounds the attempts of one draft that run at the same time.
const maxParallelAttempts = 2

// race holds the attempts of a draft that run at the same time: a draft whose servers are silent is
// also sent to others, and the attempt that brings the next event goes on. It is safe for concurrent
// use.
type race struct {
	// beside counts the attempts that run beside the one of the request's handler.
	beside sync.WaitGroup

	mu       sync.Mutex
	attempts []*attempt
	isClosed bool
	result   raceResult
}

// raceResult is how the attempts of a race have ended.
type raceResult struct {
	isComplete bool
	// failure is that of the last attempt that failed by itself.
	failure *failure
	// panicked is what an attempt has panicked with, to be raised again by the request's handler.
	panicked any
}

// open begins a race with its first attempt.
func (r *race) open(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = []*attempt{a}
	r.isClosed = false
	r.result = raceResult{}
}

// mayJoin reports whether another attempt may begin.
func (r *race) mayJoin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.canJoin()
}

func (r *race) canJoin() bool { return !r.isClosed && len(r.attempts) < maxParallelAttempts }

// join adds an attempt and starts it, unless the race is closed or full.
func (r *race) join(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.canJoin() {
		return false
	}
	r.attempts = append(r.attempts, a)
	r.beside.Go(func() {
		defer func() {
			if p := recover(); p != nil {
				r.leave(a, raceResult{panicked: p})
			}
		}()
		f := a.run()
		r.leave(a, raceResult{isComplete: f == nil, failure: f})
	})
	return true
}

// leave removes an attempt that has ended with a result. The race is closed once no attempt runs.
func (r *race) leave(a *attempt, result raceResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = slices.DeleteFunc(r.attempts, func(other *attempt) bool { return other == a })
	r.isClosed = r.isClosed || len(r.attempts) == 0
	r.result.isComplete = r.result.isComplete || result.isComplete
	if result.panicked != nil {
		r.result.panicked = result.panicked
	}
	if f := result.failure; f != nil && (r.result.failure == nil || !errors.Is(f.err, errOvertaken)) {
		r.result.failure = f
	}
}

// await waits until no attempt runs, and returns how they have ended.
func (r *race) await() raceResult {
	r.beside.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result
}

// win cancels all attempts but one.
func (r *race) win(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelOthers(a)
}

func (r *race) cancelOthers(a *attempt) {
	for _, other := range r.attempts {
		if other != a {
			other.cancel(errOvertaken)
		}
	}
}

// claim closes the race for an attempt that has an answer, and cancels the others. An answer that doesn't
// count as final is claimed only if no other attempt runs. It reports whether the attempt may answer.
func (r *race) claim(a *attempt, isFinal bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.attempts) > 1 && !isFinal || r.isClosed {
		return false
	}
	r.isClosed = true
	r.cancelOthers(a)
	return true
}

// heads returns the first servers of the attempts that run.
func (r *race) heads() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, a := range r.attempts {
		if path := a.currentPath(); len(path) > 0 {
			out = append(out, path[0].ID)
		}
	}
	return out
}

// runAttempts runs an attempt of a draft, and further ones while its servers are silent. It returns
// nil once the stream is complete, and otherwise the failure of the last attempt.
func (g *Gateway) runAttempts(a *attempt) *failure {
	d := a.draft
	d.race.open(a)
	f := a.run()
	if f == nil {
		d.race.win(a)
	}
	d.race.leave(a, raceResult{isComplete: f == nil, failure: f})
	result := d.race.await()
	switch {
	case result.panicked != nil:
		panic(result.panicked)
	case result.isComplete:
		return nil
	default:
		return result.failure
	}
}

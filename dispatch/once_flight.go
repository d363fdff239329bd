package dispatch

import (
	"context"
	"sync"

	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/outcome"
)

// flightID identifies equal requests with the same key.
type flightID struct {
	key    ledger.Key
	digest ledger.Digest
}

// flight is a request that runs or waits at this instance.
type flight struct {
	done  chan struct{}
	reply reply
}

// flights lets one of the equal requests at this instance run, while the others wait for
// what it learns. It holds as many flights as there are requests in flight.
type flights struct {
	mu   sync.Mutex
	open map[flightID]*flight
}

func newFlights() *flights { return &flights{open: make(map[flightID]*flight)} }

// do runs the attempt, or waits for an equal one until ctx ends. When that one has given up
// waiting for another instance, the next one takes its place.
func (f *flights) do(ctx context.Context, a attempt, run func(context.Context, attempt) reply) reply {
	id := flightID{key: a.key, digest: a.digest}
	for {
		fl, first := f.join(id)
		if first {
			fl.reply = run(ctx, a)
			f.leave(id)
			close(fl.done)
			return fl.reply
		}
		select {
		case <-fl.done:
			if fl.reply.err == nil || fl.reply.err.Code != outcome.CodeInProgress {
				return fl.reply
			}
		case <-ctx.Done():
			return reply{err: errInProgress()}
		}
	}
}

func (f *flights) join(id flightID) (*flight, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl, ok := f.open[id]; ok {
		return fl, false
	}
	fl := &flight{done: make(chan struct{})}
	f.open[id] = fl
	return fl, true
}

func (f *flights) leave(id flightID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, id)
}

package dispatch

import (
	"context"
	"sync"

	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/outcome"
)

// flightID identifies identical requests with the same key.
type flightID struct {
	key    ledger.Key
	digest ledger.Digest
}

// flight is a request that is running or waiting at this instance.
type flight struct {
	done  chan struct{}
	reply reply
}

// flightGroup runs one of several identical requests at this instance, and shares its reply with
// the others. It never holds more flights than there are requests in flight.
type flightGroup struct {
	mu       sync.Mutex
	inFlight map[flightID]*flight
}

func newFlightGroup() *flightGroup { return &flightGroup{inFlight: make(map[flightID]*flight)} }

// do runs the attempt. If an identical attempt is running already, do waits for its reply until ctx
// ends. If the running attempt gives up waiting for another instance, one of the waiting attempts
// runs in its place.
func (f *flightGroup) do(ctx context.Context, a attempt, run func(context.Context, attempt) reply) reply {
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

func (f *flightGroup) join(id flightID) (*flight, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl, ok := f.inFlight[id]; ok {
		return fl, false
	}
	fl := &flight{done: make(chan struct{})}
	f.inFlight[id] = fl
	return fl, true
}

func (f *flightGroup) leave(id flightID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inFlight, id)
}

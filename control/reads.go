package control

import (
	"context"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/routing"
	"github.com/rotisserie/eris"
)

// read waits until the applied state is known to hold all that was acknowledged before it began.
type read struct {
	ctx context.Context
	// began is when the read began, as bootclock.Now counts.
	began  time.Duration
	result chan routing.Publication
}

// ReadRouting returns a routing document that is not older than any that was acknowledged before the call. It adds nothing
// to the log: it waits for the next confirmation of this replica's state, which comes with the leader's heartbeats.
func (h *Host) ReadRouting(ctx context.Context) (routing.Publication, error) {
	r := &read{ctx: ctx, began: h.now(), result: make(chan routing.Publication, 1)}
	if err := h.inputQueue.Push(ctx, input{read: r}); err != nil {
		return routing.Publication{}, eris.Wrap(err, "control: queue read")
	}
	select {
	case p := <-r.result:
		return p, nil
	case <-h.stopped:
		return routing.Publication{}, ErrStopped
	case <-ctx.Done():
		return routing.Publication{}, eris.Wrap(ctx.Err(), "control: wait for a confirmed state")
	}
}

// answerReads answers the reads that began before the time as of which the state is confirmed, and drops those that were
// given up.
func (h *Host) answerReads() {
	if len(h.reads) == 0 {
		return
	}
	confirmed := h.clock.timeOf(h.node, h.node.ConfirmedTick())
	h.reads = slices.DeleteFunc(h.reads, func(r *read) bool {
		if confirmed >= r.began {
			r.result <- h.state.Routing
			return true
		}
		return r.ctx.Err() != nil
	})
}

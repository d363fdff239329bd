package fleet

import (
	"errors"
	"time"
)

// ErrBadUpdate means that an update refers to a slot without a description, or describes a slot
// out of range or a server without a name.
var ErrBadUpdate = errors.New("fleet: update for a slot without description")

// maxSlots bounds the number of servers in a feed. A feed never has more than a registry holds.
const maxSlots = maxServers

// Follower applies the updates of one subscription to a registry. It is not safe for concurrent
// use.
type Follower struct {
	slots []BackendServer
}

// NewFollower returns a follower for a new feed.
func NewFollower() *Follower { return &Follower{} }

// Apply applies an update. sent is the earliest time, by this instance's clock, at which the update
// can have been made. The remaining lease times count from sent, so a delayed update doesn't extend
// leases. The only error is ErrBadUpdate, after which part of the update may have been applied.
func (f *Follower) Apply(now, sent time.Time, u Update, r *Registry) error {
	for _, d := range u.Described {
		if err := f.describe(d); err != nil {
			return err
		}
	}
	for _, c := range u.Loads {
		if c.Slot < 0 || c.Slot >= len(f.slots) {
			return ErrBadUpdate
		}
		f.slots[c.Slot].Load = c.Load
	}
	if len(u.Remaining) > len(f.slots) {
		return ErrBadUpdate
	}
	for i, units := range u.Remaining {
		if units == 0 || f.slots[i].Name == "" {
			continue
		}
		// A server that Merge refuses stays unavailable on this instance. The instance that granted
		// the lease learns of the same conflict, but not of a lack of room here: see TakeRefused.
		_ = r.Merge(now, f.slots[i], sent.Add(time.Duration(units)*RemainingUnit))
	}
	return nil
}

func (f *Follower) describe(d Description) error {
	if d.Slot < 0 || d.Slot >= maxSlots || d.Server.Name == "" {
		return ErrBadUpdate
	}
	for len(f.slots) <= d.Slot {
		f.slots = append(f.slots, BackendServer{})
	}
	f.slots[d.Slot] = d.Server
	return nil
}

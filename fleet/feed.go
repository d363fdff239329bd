package fleet

import "time"

// RemainingUnit is the unit of the remaining lease times in an Update.
const RemainingUnit = 16 * time.Millisecond

const maxRemainingUnits = 255

// Description states which server a slot of a feed refers to, until the next description of the
// slot.
type Description struct {
	Slot   int
	Server BackendServer
}

// LoadChange is a new load of a slot's server.
type LoadChange struct {
	Slot int
	Load Load
}

// Update is one message of a feed: the leases that one instance has granted, and what has
// changed since the previous update.
type Update struct {
	Described []Description
	// Remaining holds the remaining lease time of each slot in units of RemainingUnit, rounded
	// down and at most 255. 0 means that the slot has no lease.
	Remaining []byte
	Loads     []LoadChange
}

// Feed generates the updates for one subscriber, which must receive all of them in order. A new
// subscription requires a new feed. It is not safe for concurrent use.
type Feed struct {
	slots map[string]*feedSlot
	// used marks the slots that refer to a server with a lease.
	used []bool
}

// feedSlot is what was last sent to the subscriber about a server.
type feedSlot struct {
	index         int
	incarnation   uint64
	firstSequence uint64
	sent          Load
}

// NewFeed returns a feed that has not sent anything.
func NewFeed() *Feed { return &Feed{slots: make(map[string]*feedSlot)} }

// Next returns the next update, given the direct leases of a registry.
func (f *Feed) Next(now time.Time, leases []Lease) Update {
	f.release(leases)
	var u Update
	for _, l := range leases {
		s, ok := f.slots[l.Server.Name]
		if !ok {
			s = &feedSlot{index: f.allocate()}
			f.slots[l.Server.Name] = s
		}
		if !ok || s.incarnation != l.Server.Incarnation || s.firstSequence != l.FirstSequence {
			u.Described = append(u.Described, Description{Slot: s.index, Server: l.Server})
			s.incarnation = l.Server.Incarnation
			s.firstSequence = l.FirstSequence
			s.sent = l.Server.Load
		}
		if isLoadChange(s.sent, l.Server.Load) {
			u.Loads = append(u.Loads, LoadChange{Slot: s.index, Load: l.Server.Load})
			s.sent = l.Server.Load
		}
	}
	u.Remaining = make([]byte, len(f.used))
	for _, l := range leases {
		u.Remaining[f.slots[l.Server.Name].index] = remainingUnits(l.Expires.Sub(now))
	}
	return u
}

// release frees the slots of servers whose lease has expired.
func (f *Feed) release(leases []Lease) {
	held := make(map[string]bool, len(leases))
	for _, l := range leases {
		held[l.Server.Name] = true
	}
	for name, s := range f.slots {
		if !held[name] {
			f.used[s.index] = false
			delete(f.slots, name)
		}
	}
	for len(f.used) > 0 && !f.used[len(f.used)-1] {
		f.used = f.used[:len(f.used)-1]
	}
}

func (f *Feed) allocate() int {
	for i, used := range f.used {
		if !used {
			f.used[i] = true
			return i
		}
	}
	f.used = append(f.used, true)
	return len(f.used) - 1
}

func remainingUnits(d time.Duration) byte {
	return byte(min(max(0, d/RemainingUnit), maxRemainingUnits))
}

// loadChangeDivisor defines the smallest relative change, one eighth, at which a load is sent again.
const loadChangeDivisor = 8

// isLoadChange reports whether a load differs enough to be sent. Routers use loads only as a hint,
// and a load is already outdated when it arrives. A change to or from zero is always sent.
func isLoadChange(sent, load Load) bool {
	return isCountChange(sent.Running, load.Running) || isCountChange(sent.Queued, load.Queued)
}

func isCountChange(sent, count int) bool {
	if sent == count {
		return false
	}
	difference := max(sent-count, count-sent)
	return sent == 0 || count == 0 || difference*loadChangeDivisor >= sent
}

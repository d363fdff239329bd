package mesh

import "time"

// feedSlots is the number of parts that the feeds are divided into. Each part is looked at once in usageInterval, so that
// their heartbeats are spread over it.
const feedSlots = 5

// dueFeeds finds the feeds that have something to send that isn't urgent. One timer serves all of them. The mesh's lock
// guards it.
type dueFeeds struct {
	slots [feedSlots]map[*feed]bool
	count int
	// next is the slot that is looked at next, and isRunning is set while a timer runs.
	next      int
	isRunning bool
}

// add adds a feed to the smallest slot.
func (d *dueFeeds) add(f *feed) {
	for i := range d.slots {
		if len(d.slots[i]) < len(d.slots[f.slot]) {
			f.slot = i
		}
	}
	if d.slots[f.slot] == nil {
		d.slots[f.slot] = make(map[*feed]bool)
	}
	d.slots[f.slot][f] = true
	d.count++
	if !d.isRunning {
		d.isRunning = true
		time.AfterFunc(usageInterval/feedSlots, f.mesh.wakeDueFeeds)
	}
}

func (d *dueFeeds) remove(f *feed) {
	delete(d.slots[f.slot], f)
	d.count--
}

// wakeDueFeeds wakes the feeds of the next slot that are due.
func (m *Mesh) wakeDueFeeds() {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.dueFeeds
	now := time.Now()
	for f := range d.slots[d.next] {
		if f.isDue(now) {
			f.waker.wake()
		}
	}
	d.next = (d.next + 1) % feedSlots
	d.isRunning = d.count > 0
	if d.isRunning {
		time.AfterFunc(usageInterval/feedSlots, m.wakeDueFeeds)
	}
}

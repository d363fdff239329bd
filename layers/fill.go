package layers

import "time"

// firstHold is how long nothing of a server's uncounted memory counts as free after its first refusal. It
// doubles with each refusal until the drafts that ran at the last one have ended.
const firstHold = 150 * time.Millisecond

// Fill estimates the memory and the slots of servers that are taken by drafts that no instance counts, for
// example those of instances that are gone. A server that refuses a draft is full, so all that isn't counted is
// taken then; it becomes free as those drafts end. Fill is not safe for concurrent use.
type Fill struct{ refusals map[string]refusal }

type refusal struct {
	at          time.Time
	hold, lasts time.Duration
	// memory is in tokens times layers.
	memory float64
	heads  int
}

// NewFill returns a fill without refusals.
func NewFill() *Fill { return &Fill{refusals: make(map[string]refusal)} }

// RefuseMemory records that a server refused a draft for want of memory, though uncounted tokens times layers
// were free by the counts. lasts is how long the drafts that run now will run. It reports whether nothing was
// known to be uncounted before.
func (f *Fill) RefuseMemory(now time.Time, id string, lasts time.Duration, uncounted float64) bool {
	_, heads := f.At(now, id)
	return f.renew(id, refusal{at: now, lasts: lasts, memory: max(0, uncounted), heads: heads})
}

// RefuseSlots is like RefuseMemory for a server that took no further request as a first server.
func (f *Fill) RefuseSlots(now time.Time, id string, lasts time.Duration, uncounted int) bool {
	memory, _ := f.At(now, id)
	return f.renew(id, refusal{at: now, lasts: lasts, memory: memory, heads: max(0, uncounted)})
}

func (f *Fill) renew(id string, r refusal) (isFirst bool) {
	last, isKnown := f.refusals[id]
	r.hold = firstHold
	if isKnown {
		r.hold = min(2*last.hold, r.lasts/2)
	}
	f.refusals[id] = r
	return !isKnown
}

// At returns the memory, in tokens times layers, and the slots that are taken and not counted.
func (f *Fill) At(now time.Time, id string) (memory float64, heads int) {
	r, ok := f.refusals[id]
	if !ok {
		return 0, 0
	}
	left := 1 - float64(now.Sub(r.at)-r.hold)/float64(max(1, r.lasts))
	if left <= 0 {
		delete(f.refusals, id)
		return 0, 0
	}
	left = min(1, left)
	return left * r.memory, int(left*float64(r.heads) + 0.5)
}

// Reset forgets the refusals of a server that was restarted.
func (f *Fill) Reset(id string) { delete(f.refusals, id) }

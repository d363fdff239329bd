package delivery

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	partBytes = 64 << 10
	docBytes  = 213_000
	stepTime  = 5 * time.Millisecond
	// apply is what deployments want.
	apply = 3 * time.Second
)

// transfer is a fetch in flight: what it has of its part.
type transfer struct {
	from      int
	at, bytes int
}

// fleet plays instances that fetch a document in parts from peers whose links, and their own ones, they share equally.
type fleet struct {
	now       time.Time
	plans     []*Plan
	transfers []map[string]*transfer
	have      []int
	doneAt    []time.Time
	rates     []int // of the peers, in bytes a second
	ownRate   int   // of the instances
	sent      int   // bytes
	mostAt    []int // most fetches in flight at a peer
}

func newFleet(first, instances int, applyTime time.Duration, ownRate int, rates ...int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rates: rates, ownRate: ownRate, have: make([]int, instances), doneAt: make([]time.Time, instances), mostAt: make([]int, len(rates))}
	for i := range instances {
		p := New(fmt.Sprintf("gateway-%03d", first+i), applyTime)
		for r := range rates {
			p.Heard(f.now, address(r), 1)
		}
		f.plans = append(f.plans, p)
		f.transfers = append(f.transfers, make(map[string]*transfer))
	}
	return f
}

func address(peer int) string { return fmt.Sprintf("10.0.0.%d:7", peer) }

// run plays until all instances have the document, and returns how long that took.
func (f *fleet) run(t *testing.T) time.Duration {
	begun := f.now
	for ; slices.ContainsFunc(f.doneAt, time.Time.IsZero); f.now = f.now.Add(stepTime) {
		if f.now.Sub(begun) > time.Minute {
			t.Fatal("no end within a minute")
		}
		for i := range f.plans {
			f.carryOut(i)
		}
		f.move()
	}
	return f.now.Sub(begun)
}

func (f *fleet) carryOut(i int) {
	for {
		step := f.plans[i].Next(f.now)
		for _, a := range step.Cancel {
			delete(f.transfers[i], a)
			f.plans[i].Failed(f.now, a)
		}
		if step.Ask == "" {
			return
		}
		f.transfers[i][step.Ask] = &transfer{from: int(step.Ask[len("10.0.0.")] - '0'), at: f.have[i]}
	}
}

// move passes the bytes of a step on.
func (f *fleet) move() {
	atPeer := make([]int, len(f.rates))
	for _, ts := range f.transfers {
		for _, tr := range ts {
			atPeer[tr.from]++
		}
	}
	for r, n := range atPeer {
		f.mostAt[r] = max(f.mostAt[r], n)
	}
	for i, ts := range f.transfers {
		for _, a := range f.addresses(i) {
			tr := ts[a]
			rate := min(f.rates[tr.from]/atPeer[tr.from], f.ownRate/len(ts))
			n := int(float64(rate) * stepTime.Seconds())
			tr.bytes += n
			f.sent += n
			f.plans[i].Progress(f.now, a, n)
			if tr.bytes >= min(partBytes, docBytes-tr.at) {
				f.endPart(i, a, tr)
			}
		}
	}
}

func (f *fleet) addresses(i int) []string {
	var out []string
	for a := range f.transfers[i] {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

func (f *fleet) endPart(i int, a string, tr *transfer) {
	isNew := tr.at == f.have[i]
	if isNew {
		f.have[i] = min(docBytes, tr.at+partBytes)
	}
	switch {
	case f.have[i] == docBytes:
		if f.doneAt[i].IsZero() {
			f.doneAt[i] = f.now
		}
		f.plans[i].InForce(1)
	case f.plans[i].Part(f.now, a, Part{IsNew: isNew, Have: f.have[i], Size: docBytes}):
		*tr = transfer{from: tr.from, at: f.have[i]}
		return
	}
	delete(f.transfers[i], a)
	f.plans[i].Ended(a, 0)
}

// Guards against slow peers that move and so hold up a fast one: the document was late.
func TestSlowPeersAreOvertakenInTime(t *testing.T) {
	const slow, fast = 20 << 10, 1 << 20
	for _, rates := range [][]int{{slow, fast}, {slow, slow, fast}, {slow, slow, slow, fast}, {slow, slow, slow, slow, fast}, {slow, fast, fast, fast, fast}} {
		for i := range 40 {
			f := newFleet(i, 1, apply, 8<<20, rates...)
			// A part, and what each slow one sends while it is measured.
			bound := docBytes + partBytes + len(rates)*slow*int(measureTime+checkInterval)/int(time.Second)
			if took := f.run(t); took > apply || f.sent > bound {
				t.Errorf("rates %v, instance %d: in force after %v, %d bytes for %d", rates, i, took, f.sent, docBytes)
			}
		}
	}
}

// Guards against bytes that are doubled in vain where an instance's own link is narrow.
func TestTrialsOverANarrowLinkOfOnesOwnAreBounded(t *testing.T) {
	for _, own := range []int{16 << 10, 48 << 10, 109_000} {
		f := newFleet(0, 1, apply, own, 1<<20, 1<<20, 1<<20, 1<<20, 1<<20)
		took := f.run(t)
		t.Logf("link of %d bytes a second: %v, %d bytes for %d", own, took, f.sent, docBytes)
		if f.sent > docBytes+partBytes {
			t.Errorf("%d bytes for %d over a link of %d", f.sent, docBytes, own)
		}
	}
}

// Guards against a fleet that starts before narrow links and makes them narrower by asking twice, or that asks the one
// fast peer all together.
func TestFleetThatStartsSharesTheLinksOfThePeers(t *testing.T) {
	const gateways = 195
	for _, rates := range [][]int{
		{21_000_000, 21_000_000, 21_000_000, 21_000_000, 21_000_000},
		{2_000_000, 2_000_000, 2_000_000, 2_000_000, 2_000_000},
		{1_000_000, 21_000_000, 21_000_000, 21_000_000, 21_000_000},
		{1_000_000, 1_000_000, 1_000_000, 1_000_000, 21_000_000},
		{500_000, 500_000, 500_000, 500_000, 4_000_000},
	} {
		f := newFleet(0, gateways, apply, 2_500_000, rates...)
		took, all := f.run(t), 0
		for _, r := range rates {
			all += r
		}
		ideal := time.Duration(float64(gateways*docBytes) / float64(all) * float64(time.Second))
		share := float64(f.sent) / (gateways * docBytes)
		t.Logf("rates %v: %v, %v at least, %.2f of the bytes, most fetches at once %v", rates, took, ideal, share, f.mostAt)
		if took > 3*ideal/2 || share > 1.25 {
			t.Errorf("rates %v: in force after %v, at least %v, %.2f of the bytes", rates, took, ideal, share)
		}
	}
}

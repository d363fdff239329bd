package reachability

import "slices"

// Report is what one instance says about servers.
type Report struct {
	// Unresponsive are the servers that the instance avoids, sorted.
	Unresponsive []string
	// Unreached are those among them that have not answered the instance itself, sorted. Others were
	// reported to it by backend servers.
	Unreached []string
	// Answering are servers that others doubt, and that have answered the instance since it learned so.
	Answering []string
	// IsCutOff means that the instance reaches no server.
	IsCutOff bool
}

// Equal reports whether two reports say the same.
func (r Report) Equal(other Report) bool {
	return r.IsCutOff == other.IsCutOff && slices.Equal(r.Unresponsive, other.Unresponsive) &&
		slices.Equal(r.Unreached, other.Unreached) && slices.Equal(r.Answering, other.Answering)
}

// tally is what the instances say about one server.
type tally struct{ unreached, stalling, answering int }

// Doubts weighs the reports of all instances that a control instance hears. The reports of instances that are
// cut off count only while all are: then nobody is left to contradict them. It is not safe for concurrent
// use.
type Doubts struct {
	reports map[string]Report
	cutOff  int
	tallies map[string]tally
}

// NewDoubts returns doubts without reports.
func NewDoubts() *Doubts {
	return &Doubts{reports: make(map[string]Report), tallies: make(map[string]tally)}
}

// Set replaces the report of an instance, and reports whether it differs.
func (d *Doubts) Set(instance string, r Report) (changed bool) {
	old, ok := d.reports[instance]
	if ok && old.Equal(r) {
		return false
	}
	d.remove(instance, old)
	d.reports[instance] = r
	d.add(r, 1)
	if r.IsCutOff {
		d.cutOff++
	}
	return true
}

// Remove removes the report of an instance, and reports whether there was one.
func (d *Doubts) Remove(instance string) (changed bool) {
	old, ok := d.reports[instance]
	if ok {
		d.remove(instance, old)
		delete(d.reports, instance)
	}
	return ok
}

func (d *Doubts) remove(instance string, old Report) {
	if _, ok := d.reports[instance]; !ok {
		return
	}
	d.add(old, -1)
	if old.IsCutOff {
		d.cutOff--
	}
}

// add adds a report to the tallies, or subtracts it if sign is -1. Of instances that are cut off only the answers
// count that they get.
func (d *Doubts) add(r Report, sign int) {
	for _, id := range r.Answering {
		d.change(id, func(t *tally) { t.answering += sign })
	}
	if r.IsCutOff {
		return
	}
	for _, id := range r.Unresponsive {
		_, isUnreached := slices.BinarySearch(r.Unreached, id)
		d.change(id, func(t *tally) {
			if isUnreached {
				t.unreached += sign
			} else {
				t.stalling += sign
			}
		})
	}
}

func (d *Doubts) change(id string, f func(*tally)) {
	t := d.tallies[id]
	f(&t)
	if t == (tally{}) {
		delete(d.tallies, id)
		return
	}
	d.tallies[id] = t
}

// neededReports is the number of instances that must report a server before all avoid it.
const neededReports = 2

// Unresponsive returns the sorted servers that all instances should avoid: those that enough instances report,
// unless they are only out of reach of these and answer others. known is the number of instances that exist.
func (d *Doubts) Unresponsive(known int) []string {
	needed := min(neededReports, max(len(d.reports), known))
	if d.cutOff > 0 && d.cutOff == len(d.reports) {
		return d.unresponsiveToAll(needed)
	}
	var out []string
	for id, t := range d.tallies {
		n := t.stalling
		if t.answering == 0 {
			n += t.unreached
		}
		if n >= needed {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// unresponsiveToAll is Unresponsive while all instances are cut off.
func (d *Doubts) unresponsiveToAll(needed int) []string {
	counts := make(map[string]int)
	for _, r := range d.reports {
		for _, id := range r.Unresponsive {
			counts[id]++
		}
	}
	var out []string
	for id, n := range counts {
		if n >= needed && d.tallies[id].answering == 0 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Doubted returns the sorted servers that an instance that isn't cut off has not reached.
func (d *Doubts) Doubted() []string {
	var out []string
	for id, t := range d.tallies {
		if t.unreached > 0 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Answering returns the sorted servers that are doubted and answer others.
func (d *Doubts) Answering() []string {
	var out []string
	for id, t := range d.tallies {
		if t.unreached > 0 && t.answering > 0 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// CutOff returns the number of instances that reach no server.
func (d *Doubts) CutOff() int { return d.cutOff }

package quarantine

import (
	"slices"
	"time"
)

// PresumedCrash is a crash that is only presumed, since the lease of a server ran out. It is
// withdrawn when the same incarnation is available again.
type PresumedCrash struct {
	Crash
	// At is when the lease was found to have run out.
	At time.Time
}

// attributedCrash is a crash that is attributed to a fingerprint.
type attributedCrash struct {
	PresumedCrash // the incarnation is 0 if the crash is certain
	isCertain     bool
	expires       time.Time
}

// record holds the crashes that are attributed to one fingerprint.
type record struct {
	crashes []attributedCrash
	// shared is the number of crashes at which other suspects were on the server, too.
	shared int
	// lastCrash and expires are the latest times of the crashes.
	lastCrash time.Time
	expires   time.Time
}

// add records a crash. A certain crash of a server replaces those that are presumed. add reports
// whether the record has changed in more than its times.
func (r *record) add(c attributedCrash) bool {
	known := func(o attributedCrash) bool {
		return o.Server == c.Server && (o.isCertain || !c.isCertain && o.Incarnation == c.Incarnation)
	}
	if i := slices.IndexFunc(r.crashes, known); i >= 0 {
		o := &r.crashes[i]
		if !o.isCertain {
			o.At = latest(o.At, c.At)
		}
		if o.isCertain == c.isCertain {
			o.expires = latest(o.expires, c.expires)
		}
		r.updateTimes()
		return false
	}
	if c.isCertain {
		c.Incarnation = 0
		r.crashes = slices.DeleteFunc(r.crashes, func(o attributedCrash) bool { return o.Server == c.Server })
	}
	r.crashes = append(r.crashes, c)
	r.updateTimes()
	return true
}

// withdraw removes the crashes of an incarnation that were presumed until the given time, and
// reports whether there were any.
func (r *record) withdraw(c Crash, until time.Time) bool {
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(o attributedCrash) bool {
		return !o.isCertain && o.Crash == c && !o.At.After(until)
	})
	r.updateTimes()
	return len(r.crashes) < before
}

func (r *record) updateTimes() {
	r.lastCrash, r.expires = time.Time{}, time.Time{}
	for _, c := range r.crashes {
		r.lastCrash = latest(r.lastCrash, c.At)
		r.expires = latest(r.expires, c.expires)
	}
}

// servers returns the names of the servers that crashed, each once, in the order of the reports.
func (r *record) servers() []string {
	var out []string
	for _, c := range r.crashes {
		if !slices.Contains(out, c.Server) {
			out = append(out, c.Server)
		}
	}
	return out
}

// presumed returns the latest incarnation's crash of each server whose crash is not certain, in the
// order of servers.
func (r *record) presumed() []PresumedCrash {
	var out []PresumedCrash
	for _, server := range r.servers() {
		var last *attributedCrash
		for i := range r.crashes {
			if c := &r.crashes[i]; c.Server == server && !c.isCertain && (last == nil || c.Incarnation > last.Incarnation) {
				last = c
			}
		}
		if last != nil {
			out = append(out, last.PresumedCrash)
		}
	}
	return out
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

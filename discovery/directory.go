package discovery

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxServers bounds the servers that are remembered, gone ones included.
	maxServers = 16384
	// goneFor is for how long a server that has gone is remembered, so that late
	// announcements don't bring it back.
	goneFor = 60 * time.Second
)

type entry struct {
	announcement Announcement
	// heard is when the server itself was last heard here; zero if others told of it.
	heard time.Time
	// missed is since when no control instance that is reached from here hears the server;
	// zero if one does.
	missed time.Time
	// changed is when the entry last changed, revision the number of that change.
	changed  time.Time
	revision uint64
}

// Directory holds the newest announcement of each server. It is not safe for concurrent use.
type Directory struct {
	// self is the address of this instance if it is a control instance.
	self     string
	entries  map[string]*entry
	revision uint64
}

// NewDirectory returns an empty directory of the control instance at an address; "" if this
// instance hears no servers itself.
func NewDirectory(self string) *Directory {
	return &Directory{self: self, entries: make(map[string]*entry)}
}

// Announce takes what a server says here. It reports whether others have to learn of it; that it
// speaks to this instance now is news to whoever heard it before.
func (d *Directory) Announce(now time.Time, a Announcement) bool {
	a.HeardBy = d.self
	e, isNews := d.apply(now, a)
	if e == nil {
		return false
	}
	e.heard = now
	return isNews
}

// Merge takes what another instance says of a server. It reports whether that is news.
func (d *Directory) Merge(now time.Time, a Announcement) bool {
	e, isNews := d.apply(now, a)
	if e != nil {
		e.heard = time.Time{}
		e.missed = time.Time{}
	}
	return isNews
}

// Restore takes what this control instance knew of a server before it was started anew. The
// server falls silent unless it is heard.
func (d *Directory) Restore(now time.Time, a Announcement) {
	a.HeardBy = d.self
	if e, _ := d.apply(now, a); e != nil {
		e.missed = now
	}
}

// apply returns the entry if the announcement is newer than what it held, and whether
// anything but the sequence is new.
func (d *Directory) apply(now time.Time, a Announcement) (*entry, bool) {
	e, ok := d.entries[a.ID]
	if !ok {
		if len(d.entries) >= maxServers || d.isOutdated(&a) {
			return nil, false
		}
		e = &entry{announcement: a}
		d.entries[a.ID] = e
		d.touch(now, e)
		d.supersede(now, &a)
		return e, true
	}
	if !a.IsNewerThan(&e.announcement) {
		return nil, false
	}
	if e.announcement.State == StateLeft && a.Incarnation == e.announcement.Incarnation {
		return nil, false
	}
	isNews := a.says(&e.announcement)
	e.announcement = a
	if isNews {
		d.touch(now, e)
		d.supersede(now, &a)
	}
	return e, isNews
}

// isOutdated reports whether a later start of another server has the address.
func (d *Directory) isOutdated(a *Announcement) bool {
	for _, e := range d.entries {
		b := &e.announcement
		if b.Address == a.Address && b.ID != a.ID && b.State != StateLeft && b.Incarnation > a.Incarnation {
			return true
		}
	}
	return false
}

// supersede marks servers as gone whose address a later start has.
func (d *Directory) supersede(now time.Time, a *Announcement) {
	if a.State == StateLeft {
		return
	}
	for _, e := range d.entries {
		b := &e.announcement
		if b.ID != a.ID && b.Address == a.Address && b.State != StateLeft && b.Incarnation <= a.Incarnation {
			b.State = StateLeft
			d.touch(now, e)
		}
	}
}

func (d *Directory) touch(now time.Time, e *entry) {
	d.revision++
	e.revision = d.revision
	e.changed = now
}

// Leave marks a server as gone that says so. It reports whether that is new.
func (d *Directory) Leave(now time.Time, id string) bool {
	e, ok := d.entries[id]
	if !ok || e.announcement.State == StateLeft {
		return false
	}
	e.announcement.State = StateLeft
	e.announcement.Sequence++
	d.touch(now, e)
	return true
}

// Expire marks servers as silent that were last heard before a time: here, or by a control
// instance that is not reached any more.
func (d *Directory) Expire(now, since time.Time, isReached func(control string) bool) []string {
	var expired []string
	for id, e := range d.entries {
		if e.announcement.State == StateLeft {
			if now.Sub(e.changed) > goneFor {
				delete(d.entries, id)
			}
			continue
		}
		if e.announcement.State != StateSilent && d.lastHeard(now, e, isReached).Before(since) {
			e.announcement.State = StateSilent
			d.touch(now, e)
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// lastHeard returns when a server may have been heard last. One whose control instance was
// lost turns to another one, which tells of it.
func (d *Directory) lastHeard(now time.Time, e *entry, isReached func(control string) bool) time.Time {
	if !e.heard.IsZero() {
		return e.heard
	}
	by := e.announcement.HeardBy
	if by == "" || by != d.self && isReached(by) { // "": told by an instance of an older release
		e.missed = time.Time{}
		return now
	}
	if e.missed.IsZero() {
		e.missed = now
	}
	return e.missed
}

// Revision rises with each change.
func (d *Directory) Revision() uint64 { return d.revision }

// Since returns the announcements that have changed after the revision.
func (d *Directory) Since(revision uint64) []Announcement {
	var out []Announcement
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if e := d.entries[id]; e.revision > revision {
			out = append(out, e.announcement)
		}
	}
	return out
}

// Get returns the newest announcement of a server.
func (d *Directory) Get(id string) (Announcement, bool) {
	e, ok := d.entries[id]
	if !ok {
		return Announcement{}, false
	}
	return e.announcement, true
}

// All returns the newest announcements, ordered by ID.
func (d *Directory) All() []Announcement { return d.Since(0) }

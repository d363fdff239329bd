package discovery

import (
	"cmp"
	"container/list"
	"errors"
	"iter"
	"slices"
	"time"
)

// ErrUnknownServer means that this instance doesn't know the server, so it can't pass on that the server leaves.
var ErrUnknownServer = errors.New("discovery: the backend server is not known here")

const (
	// maxServers bounds the known servers, including those that have left.
	maxServers = 16384
	// leftRetention is how long a server is remembered after it has left, so that delayed
	// announcements don't make it available again.
	leftRetention = 60 * time.Second
)

type entry struct {
	announcement Announcement
	// lastSeen is when the server last sent an announcement to this instance. It is zero if another
	// instance reported a newer announcement.
	lastSeen time.Time
	// unreachableSince is when the control instance that receives the server's announcements was
	// first found disconnected. It is zero while that control instance is connected.
	unreachableSince time.Time
	// step is the difference between the sequences of the last two announcements that the server sent to this instance, 0
	// if it isn't known.
	step uint64
	// changed is when the entry last changed, and revision is the directory's revision then.
	changed  time.Time
	revision uint64
	// element is the entry's place in Directory.changes.
	element *list.Element
}

// Directory holds the latest announcement of each server. It is not safe for concurrent use.
type Directory struct {
	// self is the address of this instance if it is a control instance.
	self    string
	entries map[string]*entry
	// byAddress holds the entries whose latest announcement states the address.
	byAddress map[string][]*entry
	// changes holds all entries in the order of their revisions, so that Since visits only those that
	// have changed.
	changes  *list.List
	revision uint64
	visited  uint64
}

// NewDirectory returns an empty directory. self is the address of this control instance, or empty
// if this instance receives no announcements from servers.
func NewDirectory(self string) *Directory {
	return &Directory{
		self:      self,
		entries:   make(map[string]*entry),
		byAddress: make(map[string][]*entry),
		changes:   list.New(),
	}
}

// Announce merges an announcement that a server sent to this instance. It reports whether there is
// a change to send to other instances, such as that the server announces itself here and no longer
// to another instance.
//
// A gap in the sequences is a change, too: the server has called a control instance that others may have
// heard, and this one not, before it ended. Servers whose sequences don't go up by one have no gaps.
func (d *Directory) Announce(now time.Time, a Announcement) bool {
	a.HeardBy = d.self
	step := d.step(&a)
	e, changed := d.apply(now, a)
	if e == nil {
		return false
	}
	if !changed && e.step <= 1 && step != 1 {
		d.recordChange(now, e)
		changed = true
	}
	e.lastSeen = now
	e.step = step
	return changed
}

// step returns by how much the sequence of an announcement exceeds that of the one before in its
// incarnation, 0 if there is none.
func (d *Directory) step(a *Announcement) uint64 {
	e, ok := d.entries[a.ID]
	if !ok || e.announcement.Incarnation != a.Incarnation {
		return 0
	}
	return a.Sequence - e.announcement.Sequence
}

// Merge merges an announcement reported by another instance, and reports whether there is a change to
// send to other instances. If the report says that a server announces itself elsewhere, though it has
// announced itself here since, the newer announcement is sent to them: it changed nothing else, so they
// don't know it. An announcement that arrives late at another control instance causes such a report.
func (d *Directory) Merge(now time.Time, a Announcement) bool {
	e, changed := d.apply(now, a)
	if e != nil {
		e.lastSeen = time.Time{}
		e.unreachableSince = time.Time{}
		e.step = 0
		return changed
	}
	e = d.entries[a.ID]
	switch {
	case e == nil:
		return false
	case d.silences(e, &a):
		e.announcement.State, e.announcement.Sequence = StateSilent, a.Sequence
	case d.hears(e) && a.HeardBy != d.self && e.announcement.overtakes(&a):
	default:
		return false
	}
	d.recordChange(now, e)
	return true
}

// silences reports whether a ready server becomes silent at this gateway, though a later announcement of it is known: the
// control instances that have lost it, or the one that received its announcements, don't know the later ones, as these
// changed nothing or were forgotten in a restart. A control instance judges by its own clock.
func (d *Directory) silences(e *entry, a *Announcement) bool {
	b := &e.announcement
	return d.self == "" && a.State == StateSilent && b.State == StateReady && a.Incarnation == b.Incarnation && a.HeardBy == b.HeardBy
}

// hears reports whether this is the control instance that receives the server's announcements.
func (d *Directory) hears(e *entry) bool { return d.self != "" && e.announcement.HeardBy == d.self }

// Restore adds a server that this control instance knew before its restart. The server becomes
// silent unless it sends an announcement to this control instance, or to another one that reports it.
func (d *Directory) Restore(now time.Time, a Announcement) {
	a.HeardBy = cmp.Or(a.HeardBy, d.self)
	if e, _ := d.apply(now, a); e != nil {
		e.unreachableSince = now
	}
}

// apply stores the announcement if it is newer than the known one. It returns the entry, or nil if
// nothing was stored, and whether more than Sequence and ColdMS has changed.
func (d *Directory) apply(now time.Time, a Announcement) (*entry, bool) {
	if a.State == StateLeft {
		a.Sequence = leftSequence
	}
	e, ok := d.entries[a.ID]
	if !ok {
		if len(d.entries) >= maxServers || d.isOutdated(&a) {
			return nil, false
		}
		e = &entry{announcement: a}
		d.entries[a.ID] = e
		d.byAddress[a.Address] = append(d.byAddress[a.Address], e)
		e.element = d.changes.PushBack(e)
		d.recordChange(now, e)
		d.supersede(now, &a)
		return e, true
	}
	if !a.IsNewerThan(&e.announcement) {
		return nil, false
	}
	changed := a.differsFrom(&e.announcement)
	if a.Address != e.announcement.Address {
		d.removeAddress(e)
		d.byAddress[a.Address] = append(d.byAddress[a.Address], e)
	}
	e.announcement = a
	if changed {
		d.recordChange(now, e)
		d.supersede(now, &a)
	}
	return e, changed
}

// isOutdated reports whether another server with a higher incarnation has the same address.
func (d *Directory) isOutdated(a *Announcement) bool {
	for _, e := range d.byAddress[a.Address] {
		b := &e.announcement
		if b.ID != a.ID && b.State != StateLeft && b.Incarnation > a.Incarnation {
			return true
		}
	}
	return false
}

// supersede marks a server as left if its address now belongs to a later start.
func (d *Directory) supersede(now time.Time, a *Announcement) {
	if a.State == StateLeft {
		return
	}
	for _, e := range d.byAddress[a.Address] {
		b := &e.announcement
		if b.ID != a.ID && b.State != StateLeft && b.Incarnation <= a.Incarnation {
			d.markLeft(now, e)
		}
	}
}

func (d *Directory) recordChange(now time.Time, e *entry) {
	d.revision++
	e.revision = d.revision
	e.changed = now
	d.changes.MoveToBack(e.element)
}

// remove forgets an entry.
func (d *Directory) remove(e *entry) {
	d.removeAddress(e)
	d.changes.Remove(e.element)
	delete(d.entries, e.announcement.ID)
}

// removeAddress removes an entry from those of its address.
func (d *Directory) removeAddress(e *entry) {
	address := e.announcement.Address
	kept := slices.DeleteFunc(d.byAddress[address], func(other *entry) bool { return other == e })
	if len(kept) == 0 {
		delete(d.byAddress, address)
		return
	}
	d.byAddress[address] = kept
}

// Leave marks a server as left at the server's own request. It reports whether the server's state
// has changed. The only error is ErrUnknownServer.
func (d *Directory) Leave(now time.Time, id string) (bool, error) {
	e, ok := d.entries[id]
	if !ok {
		return false, ErrUnknownServer
	}
	if e.announcement.State == StateLeft {
		return false, nil
	}
	d.markLeft(now, e)
	return true, nil
}

func (d *Directory) markLeft(now time.Time, e *entry) {
	e.announcement.State = StateLeft
	e.announcement.Sequence = leftSequence
	d.recordChange(now, e)
}

// Expire marks a ready server as silent if its last announcement, as determined by lastSeen, is older
// than the given time, and returns the IDs of the servers that it marked. It also removes the
// servers that left longer than leftRetention ago.
func (d *Directory) Expire(now, since time.Time, isConnected func(control string) bool) []string {
	var expired []string
	for id, e := range d.entries {
		if e.announcement.State == StateLeft {
			if now.Sub(e.changed) > leftRetention {
				d.remove(e)
			}
			continue
		}
		if e.announcement.State == StateReady && d.lastSeen(now, e, isConnected).Before(since) {
			e.announcement.State = StateSilent
			d.recordChange(now, e)
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// lastSeen returns the latest time at which a server may have sent an announcement to this
// instance, or to another control instance before that was found disconnected. A server that loses
// its control instance sends its announcements to another control instance, whose reports then
// reset the time.
func (d *Directory) lastSeen(now time.Time, e *entry, isConnected func(control string) bool) time.Time {
	if !e.lastSeen.IsZero() {
		return e.lastSeen
	}
	by := e.announcement.HeardBy
	if by == "" || by != d.self && isConnected(by) { // HeardBy is empty in reports of older releases
		e.unreachableSince = time.Time{}
		return now
	}
	if e.unreachableSince.IsZero() {
		e.unreachableSince = now
	}
	return e.unreachableSince
}

// Revision returns a number that grows with each change.
func (d *Directory) Revision() uint64 { return d.revision }

// RevisionOf returns the directory's revision when a server's entry last changed, 0 for an unknown server.
func (d *Directory) RevisionOf(id string) uint64 {
	if e, ok := d.entries[id]; ok {
		return e.revision
	}
	return 0
}

// ChangedSince yields the servers whose entries have a higher revision than the given one, in the order of their
// revisions. What it yields must not be changed or retained.
func (d *Directory) ChangedSince(revision uint64) iter.Seq[*Announcement] {
	return func(yield func(*Announcement) bool) {
		var first *list.Element
		for el := d.changes.Back(); el != nil; el = el.Prev() {
			d.visited++
			if el.Value.(*entry).revision <= revision {
				break
			}
			first = el
		}
		for el := first; el != nil; el = el.Next() {
			if !yield(&el.Value.(*entry).announcement) {
				return
			}
		}
	}
}

// Since returns the announcements that changed after the given revision, ordered by ID. It visits only
// these.
func (d *Directory) Since(revision uint64) []Announcement {
	var out []Announcement
	for a := range d.ChangedSince(revision) {
		out = append(out, *a)
	}
	slices.SortFunc(out, func(a, b Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Len returns the number of known servers, including those that have left.
func (d *Directory) Len() int { return len(d.entries) }

// Visited returns how many entries Since has visited so far.
func (d *Directory) Visited() uint64 { return d.visited }

// Get returns the latest announcement of a server.
func (d *Directory) Get(id string) (Announcement, bool) {
	e, ok := d.entries[id]
	if !ok {
		return Announcement{}, false
	}
	return e.announcement, true
}

// All returns the latest announcement of each server, ordered by ID.
func (d *Directory) All() []Announcement { return d.Since(0) }

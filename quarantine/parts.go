package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"
	"time"
)

const (
	// partCrashes is the number of unexplained crashes that put a part of prompts in quarantine.
	partCrashes = 4
	// soundRunDelay is the time after the first crash of a part until the part may be in quarantine:
	// a run that begins after that crash has been seen to be sound by then.
	soundRunDelay = time.Second
	// simultaneousWindow is the time within which at most maxSimultaneous crashes count for a part, if
	// servers that didn't run it crash as well. All servers of a rack crash at once, and most of them
	// run the popular parts.
	simultaneousWindow = 500 * time.Millisecond
	maxSimultaneous    = 2
	// maxPartCrashes bounds the crashes of which the parts are tracked, and maxPartsPerCrash the
	// parts of each.
	maxPartCrashes   = 256
	maxPartsPerCrash = 512
)

// Part identifies a part of a prompt, which several requests may share.
type Part uint64

// ParsePart returns the part with an ID in hexadecimal. Other IDs, and longer ones, are hashed.
func ParsePart(id string) Part {
	if n, err := strconv.ParseUint(id, 16, 64); err == nil {
		return Part(n)
	}
	sum := sha256.Sum256([]byte(id))
	return Part(binary.LittleEndian.Uint64(sum[:]))
}

// String returns the ID in hexadecimal, the form that operators use.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// PartReport lists the parts of the prompts that a server was running when it crashed. Reports of the
// same crash are merged.
type PartReport struct {
	Crash
	At          time.Time
	IsConfirmed bool
	Void        bool
	// Parts are those for which the crash counts, and Cleared those for which it no longer does.
	Parts   []Part
	Cleared []Part
}

// partEvidence collects which parts of prompts were running on servers when they crashed, and decides
// from it which parts crash servers.
//
// A crash counts for each part of the runs that had not proved sound on the server, until a run with
// the part that began later proves sound. Parts are chosen greedily: that with the most crashes
// explains them, and the other parts are judged by the rest of theirs. Parts with exactly the same
// crashes can't be told apart; then only requests with all of them are held back, and the next crash
// or sound run decides between them.
type partEvidence struct {
	history  *history
	revision *uint64
	// isOneContent reports whether a single content was part of all the crashes.
	isOneContent func(crashes []Crash) bool
	// isWithdrawn reports whether a presumed crash was taken back.
	isWithdrawn func(Crash) bool
	crashes     map[Crash]*partCrash
	parts       map[Part]*partRecord
	decision    partDecision
	// version counts the changes that may change the decision.
	version uint64
}

// partCrash is a crash of a server with the parts that it was running.
type partCrash struct {
	Crash
	at          time.Time
	isConfirmed bool
	isVoid      bool
	parts       map[Part]partUse
	// last is the last change, also of one of its parts.
	last changes
}

// partUse is one part of one crash.
type partUse struct {
	isCleared bool
	changes
}

// changes holds the revisions of the last change, and of the last change by this instance.
type changes struct{ any, own uint64 }

// counts reports whether the crash counts for a part.
func (x *partCrash) counts(p Part) bool {
	use, ok := x.parts[p]
	return ok && !use.isCleared && !x.isVoid
}

func (c changes) at(ownOnly bool) uint64 {
	if ownOnly {
		return c.own
	}
	return c.any
}

// partRecord is what is known of a part that was running on a server that crashed.
type partRecord struct {
	crashes []*partCrash
	// open is the number of crashes that are neither cleared for the part nor void.
	open int
	// soundSince is when the latest run began that has proved sound at this instance.
	soundSince time.Time
	// isTried means that this instance has let a request with the part run in spite of its
	// quarantine.
	isTried bool
}

func newPartEvidence(h *history, revision *uint64, isOneContent func([]Crash) bool, isWithdrawn func(Crash) bool) *partEvidence {
	return &partEvidence{
		history: h, revision: revision, isOneContent: isOneContent, isWithdrawn: isWithdrawn,
		crashes: make(map[Crash]*partCrash), parts: make(map[Part]*partRecord),
	}
}

// mark counts a change of a crash and makes the decision stale. It returns the change.
func (e *partEvidence) mark(x *partCrash, isOwn bool) changes {
	*e.revision++
	x.last.any = *e.revision
	c := changes{any: *e.revision}
	if isOwn {
		x.last.own = *e.revision
		c.own = *e.revision
	}
	e.markStale()
	return c
}

func (e *partEvidence) markStale() {
	e.decision.isStale = true
	e.version++
}

// crash returns the record of a crash, and creates it if there is room. It returns nil otherwise.
func (e *partEvidence) crash(now time.Time, c Crash, isOwn bool) *partCrash {
	if x, ok := e.crashes[c]; ok {
		return x
	}
	if len(e.crashes) >= maxPartCrashes && !e.makeRoom(now) {
		return nil
	}
	x := &partCrash{Crash: c, at: now, parts: make(map[Part]partUse)}
	e.crashes[c] = x
	e.mark(x, isOwn)
	return x
}

// makeRoom drops the oldest crash, of those that explain no quarantine if there are any. It returns
// false if a crash at the given time would be dropped next.
func (e *partEvidence) makeRoom(at time.Time) bool {
	var oldest *partCrash
	for _, x := range e.crashes {
		if oldest == nil || e.keepBefore(oldest, x) {
			oldest = x
		}
	}
	if !e.decision.explained[oldest.Crash] && oldest.at.After(at) {
		return false
	}
	e.drop(oldest)
	return true
}

// keepBefore reports whether a is kept rather than b.
func (e *partEvidence) keepBefore(a, b *partCrash) bool {
	if isNeeded := e.decision.explained[a.Crash]; isNeeded != e.decision.explained[b.Crash] {
		return isNeeded
	}
	return a.at.After(b.at)
}

func (e *partEvidence) drop(x *partCrash) {
	delete(e.crashes, x.Crash)
	for p, use := range x.parts {
		r := e.parts[p]
		r.crashes = slices.DeleteFunc(r.crashes, func(y *partCrash) bool { return x == y })
		if !use.isCleared && !x.isVoid {
			r.open--
		}
		if len(r.crashes) == 0 {
			delete(e.parts, p)
		}
	}
	e.markStale()
}

// voidIfWithdrawn voids a crash that is only presumed, if it was taken back before it was reported.
func (e *partEvidence) voidIfWithdrawn(x *partCrash) {
	if !x.isConfirmed && !x.isVoid && e.isWithdrawn(x.Crash) {
		e.void(x, true)
	}
}

// removeExpired removes the crashes that no longer count.
func (e *partEvidence) removeExpired(now time.Time) {
	for _, x := range e.crashes {
		if now.Sub(x.at) >= TTL {
			e.drop(x)
		}
	}
}

// add records that the crash ended a run with the part.
func (e *partEvidence) add(x *partCrash, p Part, isOwn bool) {
	if _, ok := x.parts[p]; ok || len(x.parts) >= maxPartsPerCrash {
		return
	}
	r := e.parts[p]
	if r == nil {
		r = &partRecord{}
		e.parts[p] = r
	}
	x.parts[p] = partUse{changes: e.mark(x, isOwn)}
	r.crashes = append(r.crashes, x)
	if !x.isVoid {
		r.open++
	}
	if !r.soundSince.Before(x.at) {
		e.clear(x, p, r, true)
	}
}

// clear records that a crash no longer counts for a part.
func (e *partEvidence) clear(x *partCrash, p Part, r *partRecord, isOwn bool) {
	if x.parts[p].isCleared {
		return
	}
	x.parts[p] = partUse{isCleared: true, changes: e.mark(x, isOwn)}
	if !x.isVoid {
		r.open--
	}
}

func (e *partEvidence) confirm(x *partCrash, isOwn bool) {
	if !x.isConfirmed {
		x.isConfirmed = true
		e.mark(x, isOwn)
	}
}

func (e *partEvidence) void(x *partCrash, isOwn bool) {
	if x.isVoid {
		return
	}
	x.isVoid = true
	e.mark(x, isOwn)
	for p, use := range x.parts {
		if !use.isCleared {
			e.parts[p].open--
		}
	}
}

// HasPartCrashes reports whether crashes are known with parts of prompts.
func (e *Evidence) HasPartCrashes() bool { return len(e.parts.crashes) > 0 }

// AddPartCrash records that a server crashed while it ran a request with the parts, which had not
// proved sound there.
func (e *Evidence) AddPartCrash(now time.Time, c Crash, isConfirmed bool, parts []Part) {
	if len(parts) == 0 {
		return
	}
	x := e.parts.crash(now, c, true)
	if x == nil {
		return
	}
	if isConfirmed {
		e.parts.confirm(x, true)
	} else {
		e.parts.voidIfWithdrawn(x)
	}
	for _, p := range parts {
		e.parts.add(x, p, true)
	}
}

// ClearParts records that a run with the parts has proved sound: the crashes that were known when it
// began to write its answer no longer count for them. It reports whether any did.
func (e *Evidence) ClearParts(begun time.Time, parts []Part) bool {
	changed := false
	for _, p := range parts {
		r, ok := e.parts.parts[p]
		if !ok {
			continue
		}
		if begun.After(r.soundSince) {
			r.soundSince = begun
		}
		if r.open == 0 {
			continue
		}
		for _, x := range r.crashes {
			if !x.at.After(begun) && !x.isVoid && !x.parts[p].isCleared {
				e.parts.clear(x, p, r, true)
				changed = true
			}
		}
	}
	return changed
}

// ReleasePart ends the quarantine of a part: the crashes that are known no longer count, neither for it
// nor for other parts that were part of them. It reports whether any did.
func (e *Evidence) ReleasePart(p Part) bool {
	r, ok := e.parts.parts[p]
	if !ok || r.open == 0 {
		return false
	}
	for _, x := range r.crashes {
		if !x.counts(p) {
			continue
		}
		for q := range x.parts {
			e.parts.clear(x, q, e.parts.parts[q], true)
		}
	}
	return true
}

// MergeParts applies a report of another instance and reports whether anything has changed.
func (e *Evidence) MergeParts(now time.Time, report PartReport) bool {
	if now.Sub(report.At) >= TTL {
		return false
	}
	before := *e.parts.revision
	at := report.At
	if at.After(now) {
		at = now
	}
	isNew := e.parts.crashes[report.Crash] == nil
	x := e.parts.crash(at, report.Crash, false)
	if x == nil {
		return false
	}
	if at.Before(x.at) {
		x.at = at
		e.parts.markStale()
	}
	if report.IsConfirmed {
		e.parts.confirm(x, false)
	}
	if report.Void {
		e.parts.void(x, false)
	}
	e.parts.voidIfWithdrawn(x)
	if isNew && !x.isVoid {
		e.AddServerCrash(at, report.Crash)
	}
	for _, p := range report.Parts {
		e.parts.add(x, p, false)
	}
	for _, p := range report.Cleared {
		e.parts.add(x, p, false)
		if _, ok := x.parts[p]; ok {
			e.parts.clear(x, p, e.parts.parts[p], false)
		}
	}
	return *e.parts.revision != before
}

// PartsSince returns what has changed after a revision, of up to limit crashes in the order of their
// changes, and the revision up to which it is complete. With ownOnly it returns what this instance has
// changed.
func (e *Evidence) PartsSince(revision uint64, ownOnly bool, limit int) ([]PartReport, uint64) {
	var changed []*partCrash
	for _, x := range e.parts.crashes {
		if x.last.at(ownOnly) > revision {
			changed = append(changed, x)
		}
	}
	slices.SortFunc(changed, func(a, b *partCrash) int { return cmp.Compare(a.last.at(ownOnly), b.last.at(ownOnly)) })
	upTo := *e.parts.revision
	if len(changed) > limit {
		changed = changed[:limit]
		upTo = changed[limit-1].last.at(ownOnly)
	}
	out := make([]PartReport, 0, len(changed))
	for _, x := range changed {
		out = append(out, x.report(revision, ownOnly))
	}
	return out, upTo
}

// report returns the crash with the parts that have changed after a revision.
func (x *partCrash) report(revision uint64, ownOnly bool) PartReport {
	out := PartReport{Crash: x.Crash, At: x.at, IsConfirmed: x.isConfirmed, Void: x.isVoid}
	for p, use := range x.parts {
		switch {
		case use.at(ownOnly) <= revision:
		case use.isCleared:
			out.Cleared = append(out.Cleared, p)
		default:
			out.Parts = append(out.Parts, p)
		}
	}
	slices.Sort(out.Parts)
	slices.Sort(out.Cleared)
	return out
}

// openCrashes returns the crashes of a part that are neither cleared for it nor void, by time.
func (e *partEvidence) openCrashes(p Part, r *partRecord) []*partCrash {
	out := make([]*partCrash, 0, r.open)
	for _, x := range r.crashes {
		if x.counts(p) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b *partCrash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// sortedParts returns the parts with at least count open crashes.
func (e *partEvidence) sortedParts(count int) []Part {
	var out []Part
	for p, r := range e.parts {
		if r.open >= count {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// PartEntry describes a suspect or quarantined part of prompts, for operators.
type PartEntry struct {
	Part        Part
	Servers     []string
	Expires     time.Time
	Quarantined bool
	// With are the other parts that were part of the same crashes: only requests with all of them
	// are held back.
	With []Part
}

// ListParts returns the suspect and the quarantined parts, ordered by ID.
func (e *Evidence) ListParts(now time.Time) []PartEntry {
	d := e.parts.decide(now)
	var out []PartEntry
	for _, p := range e.parts.sortedParts(partCrashes - 1) {
		open := e.parts.openCrashes(p, e.parts.parts[p])
		entry := PartEntry{Part: p, Expires: open[len(open)-1].at.Add(TTL)}
		for _, x := range open {
			entry.Servers = append(entry.Servers, x.Server)
		}
		if g := d.held[p]; g != nil && now.Before(g.expires) {
			entry.Quarantined = true
			entry.With = slices.DeleteFunc(slices.Clone(g.parts), func(q Part) bool { return q == p })
		}
		if now.Before(entry.Expires) {
			out = append(out, entry)
		}
	}
	return out
}

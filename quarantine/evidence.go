package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectCrashes is the number of unexplained crashes that make a content suspect.
	suspectCrashes = 2
	// quarantineCrashes is the number of unexplained crashes that put a content in quarantine, if
	// no other suspect can explain at least one of them.
	quarantineCrashes = 3
	// certainCrashes is the number of unexplained crashes that put a content in quarantine in any
	// case.
	certainCrashes = 7
	// presumedDelay is how long a server must be unreachable before its crash counts without being
	// confirmed. If the network is at fault, other servers become unreachable in the meantime.
	presumedDelay = 1500 * time.Millisecond
	// maxContents bounds the contents that are tracked, and maxCrashesPerContent the crashes of
	// each. Contents with the fewest crashes are dropped first, and of these the
	// oldest.
	maxContents          = 2048
	maxCrashesPerContent = 32
	// contentsRoom is the number of contents that are dropped at a time.
	contentsRoom = 128
	// judgementLifetime bounds the time for which a verdict is used again though nothing is known
	// to have changed: crashes count from a certain age on.
	judgementLifetime = 20 * time.Millisecond
)

// ContentCrash is a crash of a server that was running a content.
type ContentCrash struct {
	Crash
	At time.Time
	// IsConfirmed means that the server refused connections or was replaced. Otherwise it can't be
	// reached or is silent, which may be the network's fault.
	IsConfirmed bool
	// Void means that the crash no longer counts for the content: the server turned out to be
	// alive, the content was served since, or an operator has released it.
	Void bool
}

// ContentReport lists the crashes of servers that were running a content.
type ContentReport struct {
	Fingerprint Fingerprint
	Crashes     []ContentCrash
	Trials      []ContentTrial
}

// contentRecord holds the crashes that are known for a content.
type contentRecord struct {
	fingerprint Fingerprint
	crashes     []ContentCrash
	trials      []ContentTrial
	judged      judgement
	lastCrash   time.Time
	// isShared means that the record is reported to other instances. revision and ownRevision are
	// the revisions of its last change, and of its last change by this instance.
	isShared    bool
	revision    uint64
	ownRevision uint64
}

// Evidence collects which content was running on servers when they crashed, and decides from it
// which content crashes servers. Instances exchange their evidence; merging is commutative and
// idempotent, so it doesn't matter on which ways reports arrive.
//
// A content is judged by the crashes that nothing else explains:
//   - Crashes of several other servers at about the same time have a common cause.
//   - A server that is only unreachable counts as crashed after a while, and only if no other server
//     becomes unreachable or crashes at about the same time.
//   - A crash is explained by a content that was part of several, and was alone in more of them.
//   - If several suspects share each of their crashes, any of them may be the cause. From trialCrashes
//     on they run in trials (see ContentTrial), and the next crash decides.
//
// It is not safe for concurrent use.
type Evidence struct {
	contents map[Fingerprint]*contentRecord
	// byCrash holds the contents that were part of each crash, whether it counts or not.
	byCrash map[Crash][]*contentRecord
	// version counts the changes that may change a verdict.
	version uint64
	parts   *partEvidence
	history history
	// withdrawn holds the crashes that were presumed and taken back.
	withdrawn withdrawnCrashes
	revision  uint64
}

// NewEvidence returns an Evidence without crashes.
func NewEvidence() *Evidence {
	e := &Evidence{contents: make(map[Fingerprint]*contentRecord), byCrash: make(map[Crash][]*contentRecord)}
	e.withdrawn.known = make(map[Crash]bool)
	e.parts = newPartEvidence(&e.history, &e.revision, e.isOneContent, e.withdrawn.has)
	return e
}

// Len returns the number of contents for which crashes are known, and of crashes with known parts of
// prompts.
func (e *Evidence) Len() int { return len(e.contents) + len(e.parts.crashes) }

// Revision returns a number that grows with each change that is reported to other instances.
func (e *Evidence) Revision() uint64 { return e.revision }

// AddServerCrash records that a server crashed.
func (e *Evidence) AddServerCrash(now time.Time, c Crash) {
	e.history.add(now, c)
	e.version++
	e.parts.markStale()
}

// AddContentCrash records that a server crashed while it ran the content, and returns the number of
// its crashes, and whether this one is new. It reports the record to other instances from the second
// crash on.
func (e *Evidence) AddContentCrash(now time.Time, f Fingerprint, c Crash, isConfirmed bool) (crashes int, isNew bool) {
	e.AddServerCrash(now, c)
	r := e.record(now, f)
	isNew = e.add(r, ContentCrash{Crash: c, At: now, IsConfirmed: isConfirmed}, true)
	crashes = r.count()
	if crashes >= suspectCrashes {
		e.Share(f)
	}
	return crashes, isNew
}

// add merges one crash into a record and reports whether the record has changed.
func (e *Evidence) add(r *contentRecord, c ContentCrash, isOwn bool) bool {
	if !c.IsConfirmed && e.withdrawn.has(c.Crash) {
		c.Void = true
	}
	i := slices.IndexFunc(r.crashes, func(x ContentCrash) bool { return x.Crash == c.Crash })
	switch {
	case i >= 0:
		x := &r.crashes[i]
		if (x.Void || !c.Void) && (x.IsConfirmed || !c.IsConfirmed) {
			return false
		}
		x.Void = x.Void || c.Void
		x.IsConfirmed = x.IsConfirmed || c.IsConfirmed
	case len(r.crashes) >= maxCrashesPerContent && !e.makeRoom(r, c):
		return false
	default:
		r.crashes = append(r.crashes, c)
		e.byCrash[c.Crash] = append(e.byCrash[c.Crash], r)
		if c.At.After(r.lastCrash) {
			r.lastCrash = c.At
		}
	}
	e.version++
	e.recordChange(r, isOwn)
	return true
}

// weight ranks a crash as evidence: void ones lowest, then presumed, then confirmed ones.
func (c ContentCrash) weight() int {
	switch {
	case c.Void:
		return 0
	case !c.IsConfirmed:
		return 1
	default:
		return 2
	}
}

// makeRoom removes the crash of the lowest weight, if c weighs more. Otherwise it returns false, so
// that instances that exchange full records don't replace crashes for ever.
func (e *Evidence) makeRoom(r *contentRecord, c ContentCrash) bool {
	lowest := slices.MinFunc(r.crashes, func(a, b ContentCrash) int { return cmp.Compare(a.weight(), b.weight()) })
	if lowest.weight() >= c.weight() {
		return false
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(x ContentCrash) bool { return x.Crash == lowest.Crash })
	e.removeFromCrash(r, lowest.Crash)
	return true
}

func (e *Evidence) removeFromCrash(r *contentRecord, c Crash) {
	e.byCrash[c] = slices.DeleteFunc(e.byCrash[c], func(x *contentRecord) bool { return x == r })
	if len(e.byCrash[c]) == 0 {
		delete(e.byCrash, c)
	}
}

// remove removes the record of a content.
func (e *Evidence) remove(r *contentRecord) {
	for _, c := range r.crashes {
		e.removeFromCrash(r, c.Crash)
	}
	delete(e.contents, r.fingerprint)
	e.version++
}

func (e *Evidence) recordChange(r *contentRecord, isOwn bool) {
	if !r.isShared {
		return
	}
	e.revision++
	r.revision = e.revision
	if isOwn {
		r.ownRevision = e.revision
	}
}

// record returns the record of a content, and creates it if needed.
func (e *Evidence) record(now time.Time, f Fingerprint) *contentRecord {
	r, ok := e.contents[f]
	switch {
	case ok && now.Sub(r.lastCrash) < TTL:
		return r
	case ok:
		e.remove(r)
	case len(e.contents) >= maxContents:
		e.makeRoomForContents(now)
	}
	r = &contentRecord{fingerprint: f, lastCrash: now}
	e.contents[f] = r
	return r
}

// makeRoomForContents removes some contents: those with the fewest crashes that count, and of these the
// oldest.
func (e *Evidence) makeRoomForContents(now time.Time) {
	e.removeExpiredContents(now)
	if len(e.contents) <= maxContents-contentsRoom {
		return
	}
	all := slices.Collect(maps.Values(e.contents))
	slices.SortFunc(all, func(a, b *contentRecord) int {
		return cmp.Or(cmp.Compare(a.count(), b.count()), a.lastCrash.Compare(b.lastCrash), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, r := range all[:contentsRoom] {
		e.remove(r)
	}
}

func (e *Evidence) removeExpiredContents(now time.Time) {
	for _, r := range e.contents {
		if now.Sub(r.lastCrash) >= TTL {
			e.remove(r)
		}
	}
}

// RemoveExpired removes the contents whose crashes no longer count.
func (e *Evidence) RemoveExpired(now time.Time) {
	e.removeExpiredContents(now)
	e.parts.removeExpired(now)
}

// count returns the number of crashes that count, including those with a common cause.
func (r *contentRecord) count() int {
	n := 0
	for _, c := range r.crashes {
		if !c.Void {
			n++
		}
	}
	return n
}

func (r *contentRecord) has(c Crash) bool {
	return slices.ContainsFunc(r.crashes, func(x ContentCrash) bool { return x.Crash == c && !x.Void })
}

// Share makes a content's record known to other instances.
func (e *Evidence) Share(f Fingerprint) {
	if r, ok := e.contents[f]; ok && !r.isShared {
		r.isShared = true
		e.recordChange(r, true)
	}
}

// Check returns how the content may run.
func (e *Evidence) Check(now time.Time, f Fingerprint) Verdict {
	r, ok := e.contents[f]
	if !ok || now.Sub(r.lastCrash) >= TTL || r.count() < suspectCrashes {
		return Clear
	}
	return e.judge(now, f, r)
}

// judgement is a verdict with the state of the evidence at which it was made.
type judgement struct {
	verdict Verdict
	at      time.Time
	version uint64
}

// judge decides on a content with at least suspectCrashes crashes.
func (e *Evidence) judge(now time.Time, f Fingerprint, r *contentRecord) Verdict {
	version := e.version + e.parts.version
	if age := now.Sub(r.judged.at); r.judged.version == version && age >= 0 && age < judgementLifetime {
		return r.judged.verdict
	}
	r.judged = judgement{verdict: e.newVerdict(now, f, r), at: now, version: version}
	return r.judged.verdict
}

func (e *Evidence) newVerdict(now time.Time, f Fingerprint, r *contentRecord) Verdict {
	own := e.ownCrashes(now, f, r)
	switch {
	case len(r.trials) > 0 && e.needsTrial(now, r) && !r.isTried(now) && !e.hasTrialLeft(now, r):
		return Quarantined
	case len(own) >= certainCrashes:
		return Quarantined
	case len(own) >= quarantineCrashes && e.alone(f, own) > 0:
		return Quarantined
	case len(own) >= suspectCrashes:
		return Suspect
	default:
		return Clear
	}
}

// ownCrashes returns the unexplained crashes of a content, except for those that are explained by a
// content that crashes servers also without it.
func (e *Evidence) ownCrashes(now time.Time, f Fingerprint, r *contentRecord) []Crash {
	unexplained := e.unexplained(now, r)
	alone := e.alone(f, unexplained)
	return slices.DeleteFunc(slices.Clone(unexplained), func(c Crash) bool {
		for _, other := range e.byCrash[c] {
			g := other.fingerprint
			if g == f || !other.has(c) || now.Sub(other.lastCrash) >= TTL {
				continue
			}
			its := e.unexplained(now, other)
			if len(its) >= quarantineCrashes && e.alone(g, its) > alone {
				return true
			}
		}
		return false
	})
}

// alone returns how many of the crashes of a content no other suspect was part of.
func (e *Evidence) alone(f Fingerprint, crashes []Crash) int {
	n := 0
	for _, c := range crashes {
		if !e.isSharedWithSuspect(f, c) {
			n++
		}
	}
	return n
}

// isSharedWithSuspect reports whether another content with several crashes was part of a crash.
func (e *Evidence) isSharedWithSuspect(f Fingerprint, c Crash) bool {
	for _, other := range e.byCrash[c] {
		if other.fingerprint != f && other.has(c) && other.count() >= suspectCrashes {
			return true
		}
	}
	return false
}

// sharingCrash returns the other contents that were part of a crash of r, each once.
func (e *Evidence) sharingCrash(r *contentRecord) []*contentRecord {
	var out []*contentRecord
	for _, c := range r.crashes {
		if c.Void {
			continue
		}
		for _, other := range e.byCrash[c.Crash] {
			if other != r && other.has(c.Crash) && !slices.Contains(out, other) {
				out = append(out, other)
			}
		}
	}
	return out
}

// unexplained returns the crashes of a content without a common cause.
func (e *Evidence) unexplained(now time.Time, r *contentRecord) []Crash {
	var out []Crash
	excused := 0
	for _, c := range r.crashes {
		switch {
		case c.Void:
		case e.parts.explains(now, c.Crash):
		case !c.IsConfirmed && !e.isPresumptionSound(now, r, c):
		case excused < maxExcused && e.history.hasCommonCause(c.At, r.ranOn):
			excused++
		default:
			out = append(out, c.Crash)
		}
	}
	return out
}

// isPresumptionSound reports whether a server that is only presumed to have crashed counts as crashed.
func (e *Evidence) isPresumptionSound(now time.Time, r *contentRecord, c ContentCrash) bool {
	return now.Sub(c.At) >= presumedDelay && !e.history.coincides(c.At, commonCauseWindow, r.ranOn, 1)
}

// ranOn reports whether the content was running on the server when it crashed, whether that counts
// or not.
func (r *contentRecord) ranOn(c Crash) bool {
	return slices.ContainsFunc(r.crashes, func(x ContentCrash) bool { return x.Crash == c })
}

// isOneContent reports whether a single content was part of all the crashes, of which there is one or
// more.
func (e *Evidence) isOneContent(crashes []Crash) bool {
	for _, r := range e.byCrash[crashes[0]] {
		if !slices.ContainsFunc(crashes, func(c Crash) bool { return !r.has(c) }) {
			return true
		}
	}
	return false
}

// ConfirmCrash records that a server that was presumed to have crashed has crashed.
func (e *Evidence) ConfirmCrash(c Crash) {
	if x, ok := e.parts.crashes[c]; ok {
		e.parts.confirm(x, true)
	}
	for _, r := range e.byCrash[c] {
		if r.has(c) {
			e.add(r, ContentCrash{Crash: c, IsConfirmed: true}, true)
		}
	}
}

// VoidCrash records that a server has not crashed, or that its end was planned. Reports that the
// server is presumed to have crashed no longer count either, whenever they arrive; only a confirmation
// does.
func (e *Evidence) VoidCrash(c Crash) {
	e.withdrawn.add(c)
	e.history.remove(c)
	if x, ok := e.parts.crashes[c]; ok {
		e.parts.void(x, true)
	}
	e.version++
	for _, r := range e.byCrash[c] {
		if r.has(c) {
			e.add(r, ContentCrash{Crash: c, Void: true}, true)
		}
	}
}

// Absolve records that a content was served, or that an operator has released it: the crashes that
// are known no longer count. It reports whether any crash counted before.
func (e *Evidence) Absolve(f Fingerprint) bool {
	r, ok := e.contents[f]
	if !ok || r.count() == 0 {
		return false
	}
	e.version++
	if !r.isShared {
		e.remove(r)
		return true
	}
	for i := range r.crashes {
		r.crashes[i].Void = true
	}
	for i := range r.trials {
		r.trials[i].Void = true
	}
	e.recordChange(r, true)
	return true
}

// Expires returns when the crashes of a content no longer count.
func (e *Evidence) Expires(f Fingerprint) time.Time {
	r, ok := e.contents[f]
	if !ok {
		return time.Time{}
	}
	return r.lastCrash.Add(TTL)
}

// Merge applies a report of another instance and reports whether anything has changed.
func (e *Evidence) Merge(now time.Time, report ContentReport) bool {
	changed := false
	for _, c := range report.Crashes {
		if now.Sub(c.At) >= TTL {
			continue
		}
		if c.At.After(now) {
			c.At = now
		}
		r := e.record(now, report.Fingerprint)
		if len(r.crashes) == 0 {
			r.lastCrash = c.At
		}
		if !r.isShared {
			r.isShared = true
			e.recordChange(r, false)
			changed = true
		}
		if e.add(r, c, false) {
			changed = true
			if !c.Void && (c.IsConfirmed || !e.withdrawn.has(c.Crash)) {
				e.AddServerCrash(c.At, c.Crash)
			}
		}
	}
	if r, ok := e.contents[report.Fingerprint]; ok {
		for _, t := range report.Trials {
			changed = e.mergeTrial(r, t, false) || changed
		}
	}
	return changed
}

// Since returns up to limit shared records that have changed after a revision, in the order of
// their changes, and the revision up to which they are complete. With ownOnly it returns those that
// this instance has changed.
func (e *Evidence) Since(revision uint64, ownOnly bool, limit int) ([]ContentReport, uint64) {
	type change struct {
		f        Fingerprint
		revision uint64
	}
	var changes []change
	for f, r := range e.contents {
		at := r.revision
		if ownOnly {
			at = r.ownRevision
		}
		if r.isShared && at > revision {
			changes = append(changes, change{f, at})
		}
	}
	if len(changes) == 0 {
		return nil, e.revision
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
	upTo := e.revision
	if len(changes) > limit {
		changes = changes[:limit]
		upTo = changes[limit-1].revision
	}
	out := make([]ContentReport, 0, len(changes))
	for _, c := range changes {
		out = append(out, ContentReport{Fingerprint: c.f, Crashes: slices.Clone(e.contents[c.f].crashes), Trials: slices.Clone(e.contents[c.f].trials)})
	}
	return out, upTo
}

// List returns the suspect and the quarantined contents, ordered by fingerprint.
func (e *Evidence) List(now time.Time) []Entry {
	var out []Entry
	for f, r := range e.contents {
		v := e.Check(now, f)
		if v == Clear {
			continue
		}
		entry := Entry{Fingerprint: f, Expires: r.lastCrash.Add(TTL), Quarantined: v == Quarantined}
		for _, c := range r.crashes {
			if !c.Void {
				entry.Servers = append(entry.Servers, c.Server)
			}
		}
		out = append(out, entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/quarantine"
)

// maxReportedContents and maxReportedCrashes bound the contents, and the crashes with parts of prompts,
// in one message. The others follow in the next ones.
const (
	maxReportedContents = 256
	maxReportedCrashes  = 32
)

// CrashEvidence is the evidence about content and parts of prompts that crash backend servers, as far
// as the instances have exchanged it. It is safe for concurrent use.
type CrashEvidence struct {
	// known is the number of contents with crashes and of crashes with parts of prompts, so that Check
	// costs no lock while there is none.
	known atomic.Int64
	// partCrashes is set if crashes with parts of prompts are known.
	partCrashes atomic.Bool
	// onChange is called without the lock when this instance has something to report.
	onChange func()

	mu       sync.Mutex
	evidence *quarantine.Evidence
	// heardAt is when a heartbeat of a control instance was last received.
	heardAt time.Time
}

func newCrashEvidence(onChange func()) *CrashEvidence {
	return &CrashEvidence{evidence: quarantine.NewEvidence(), onChange: onChange}
}

// IsEmpty reports whether no crash with contents or parts of prompts is known.
func (c *CrashEvidence) IsEmpty() bool { return c.known.Load() == 0 }

// Check returns how the content may run.
func (c *CrashEvidence) Check(now time.Time, f quarantine.Fingerprint) quarantine.Verdict {
	if c.IsEmpty() {
		return quarantine.Clear
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.Check(now, f)
}

// HeldPart returns the part for which a request with the given parts of its prompt is held back, and
// when its quarantine ends.
func (c *CrashEvidence) HeldPart(now time.Time, parts []quarantine.Part) (held quarantine.Part, expires time.Time, ok bool) {
	if len(parts) == 0 || !c.partCrashes.Load() {
		return 0, time.Time{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.HeldPart(now, parts)
}

// TryPart reports whether a request that is held back because of a part of its prompt may run once to
// show whether the right part is in quarantine, and returns the part.
func (c *CrashEvidence) TryPart(now time.Time, parts []quarantine.Part, t quarantine.Trials) (quarantine.Part, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.TryPart(now, parts, t)
}

// ReturnTrial records that a request that was let run to try the part has not run.
func (c *CrashEvidence) ReturnTrial(p quarantine.Part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evidence.ReturnTrial(p)
}

// AddPartCrash records that a server crashed while it ran a request with the parts, which had not
// proved sound there.
func (c *CrashEvidence) AddPartCrash(now time.Time, crash quarantine.Crash, isConfirmed bool, parts []quarantine.Part) {
	c.update(func(e *quarantine.Evidence) { e.AddPartCrash(now, crash, isConfirmed, parts) })
}

// ClearParts records that a run with the parts, which began at the given time to write its answer, has
// proved sound. It reports whether any crash counted for the parts before.
func (c *CrashEvidence) ClearParts(begun time.Time, parts []quarantine.Part) bool {
	changed := false
	if len(parts) > 0 && c.partCrashes.Load() {
		c.update(func(e *quarantine.Evidence) { changed = e.ClearParts(begun, parts) })
	}
	return changed
}

// ListParts returns the suspect and the quarantined parts of prompts.
func (c *CrashEvidence) ListParts(now time.Time) []quarantine.PartEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.ListParts(now)
}

// ReleasePart ends the quarantine of a part and reports whether any crash counted for it.
func (c *CrashEvidence) ReleasePart(p quarantine.Part) bool {
	changed := false
	c.update(func(e *quarantine.Evidence) { changed = e.ReleasePart(p) })
	return changed
}

// NeedsTrial reports whether a content may run in trials only.
func (c *CrashEvidence) NeedsTrial(now time.Time, f quarantine.Fingerprint) bool {
	if c.IsEmpty() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.NeedsTrial(now, f)
}

// ClaimTrial claims a trial of a content under an ID, and returns the state of the claim and when to ask
// again. An instance that is cut off from the control instances claims none.
func (c *CrashEvidence) ClaimTrial(now time.Time, f quarantine.Fingerprint, id uint64) (claim quarantine.Claim, next time.Time) {
	if !c.isInTouch(now) {
		return quarantine.ClaimDenied, now.Add(maxHeartbeatAge)
	}
	c.update(func(e *quarantine.Evidence) { claim, next = e.ClaimTrial(now, f, id) })
	return claim, next
}

// BeginTrial records that the content is sent to a server under a claim. It returns false if the claim
// doesn't hold.
func (c *CrashEvidence) BeginTrial(now time.Time, f quarantine.Fingerprint, id uint64) (hasBegun bool) {
	if c.isInTouch(now) {
		c.update(func(e *quarantine.Evidence) { hasBegun = e.BeginTrial(now, f, id) })
	}
	return hasBegun
}

// EndTrial records that a trial has ended, or that it doesn't count.
func (c *CrashEvidence) EndTrial(now time.Time, f quarantine.Fingerprint, id uint64, void bool) {
	c.update(func(e *quarantine.Evidence) { e.EndTrial(now, f, id, void) })
}

// maxHeartbeatAge is the age of the latest heartbeat from which on this instance may not know what others
// have claimed.
const maxHeartbeatAge = instance.WatchInterval + 50*time.Millisecond

// recordHeartbeat records that a control instance was heard.
func (c *CrashEvidence) recordHeartbeat(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = now
}

func (c *CrashEvidence) isInTouch(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.heardAt) <= maxHeartbeatAge
}

// Expires returns when the crashes of a content no longer count.
func (c *CrashEvidence) Expires(f quarantine.Fingerprint) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.Expires(f)
}

// List returns the suspect and the quarantined contents.
func (c *CrashEvidence) List(now time.Time) []quarantine.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.List(now)
}

// AddServerCrash records that a server crashed.
func (c *CrashEvidence) AddServerCrash(now time.Time, crash quarantine.Crash) {
	c.update(func(e *quarantine.Evidence) { e.AddServerCrash(now, crash) })
}

// AddContentCrash records that a server crashed while it ran the content, and returns the number of
// its crashes, and whether this one is new.
func (c *CrashEvidence) AddContentCrash(now time.Time, f quarantine.Fingerprint, crash quarantine.Crash, isConfirmed bool) (crashes int, isNew bool) {
	c.update(func(e *quarantine.Evidence) { crashes, isNew = e.AddContentCrash(now, f, crash, isConfirmed) })
	return crashes, isNew
}

// ConfirmCrash records that a server that was presumed to have crashed has crashed.
func (c *CrashEvidence) ConfirmCrash(crash quarantine.Crash) {
	c.update(func(e *quarantine.Evidence) { e.ConfirmCrash(crash) })
}

// Share makes the crashes of a content known to the other instances.
func (c *CrashEvidence) Share(f quarantine.Fingerprint) {
	c.update(func(e *quarantine.Evidence) { e.Share(f) })
}

// VoidCrash records that a server has not crashed, or that its end was planned.
func (c *CrashEvidence) VoidCrash(crash quarantine.Crash) {
	c.update(func(e *quarantine.Evidence) { e.VoidCrash(crash) })
}

// RemoveExpired removes the contents whose crashes no longer count.
func (c *CrashEvidence) RemoveExpired(now time.Time) {
	if !c.IsEmpty() {
		c.update(func(e *quarantine.Evidence) { e.RemoveExpired(now) })
	}
}

// Absolve records that a content was served, or that an operator has released it. It reports
// whether any crash counted before.
func (c *CrashEvidence) Absolve(f quarantine.Fingerprint) bool {
	changed := false
	c.update(func(e *quarantine.Evidence) { changed = e.Absolve(f) })
	return changed
}

// update changes the evidence and reports the change to the control instances.
func (c *CrashEvidence) update(change func(*quarantine.Evidence)) {
	c.mu.Lock()
	before := c.evidence.Revision()
	change(c.evidence)
	changed := c.evidence.Revision() != before
	c.countKnown()
	c.mu.Unlock()
	if changed {
		c.onChange()
	}
}

// merge applies what another instance reports, and reports whether anything has changed.
func (c *CrashEvidence) merge(now time.Time, contents []*wire.ContentCrashes, parts []*wire.PartCrash) bool {
	if len(contents) == 0 && len(parts) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for _, w := range contents {
		if c.evidence.Merge(now, contentReportFromWire(now, w)) {
			changed = true
		}
	}
	for _, w := range parts {
		if w.Crash != nil && c.evidence.MergeParts(now, partReportFromWire(now, w)) {
			changed = true
		}
	}
	c.countKnown()
	return changed
}

// countKnown is called with the lock after each change.
func (c *CrashEvidence) countKnown() {
	c.known.Store(int64(c.evidence.Len()))
	c.partCrashes.Store(c.evidence.HasPartCrashes())
}

func (c *CrashEvidence) revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.Revision()
}

// crashReporter selects what one connection has yet to be sent. It is not safe for concurrent use.
type crashReporter struct {
	evidence *CrashEvidence
	// ownOnly means that, once everything known was sent, only changes by this instance are.
	ownOnly bool

	contents, parts sentUpTo
}

// sentUpTo is what was sent of one kind of reports.
type sentUpTo struct {
	revision uint64
	isFull   bool // everything known was sent once
}

// isFull reports whether everything known was sent once.
func (r *crashReporter) isFull() bool { return r.contents.isFull && r.parts.isFull }

// next returns the contents and the crashes with parts of prompts to send in the next message.
func (r *crashReporter) next(now time.Time) ([]*wire.ContentCrashes, []*wire.PartCrash) {
	r.evidence.mu.Lock()
	defer r.evidence.mu.Unlock()
	e := r.evidence.evidence
	contents, upTo := e.Since(r.contents.revision, r.ownOnly && r.contents.isFull, maxReportedContents)
	r.contents.advance(upTo, e.Revision())
	parts, upTo := e.PartsSince(r.parts.revision, r.ownOnly && r.parts.isFull, maxReportedCrashes)
	r.parts.advance(upTo, e.Revision())
	wireContents := make([]*wire.ContentCrashes, 0, len(contents))
	for _, report := range contents {
		wireContents = append(wireContents, contentReportToWire(now, report))
	}
	wireParts := make([]*wire.PartCrash, 0, len(parts))
	for _, report := range parts {
		wireParts = append(wireParts, partReportToWire(now, report))
	}
	return wireContents, wireParts
}

func (s *sentUpTo) advance(upTo, latest uint64) {
	s.revision = upTo
	s.isFull = s.isFull || upTo == latest
}

func contentReportToWire(now time.Time, r quarantine.ContentReport) *wire.ContentCrashes {
	out := &wire.ContentCrashes{Fingerprint: uint64(r.Fingerprint)}
	for _, c := range r.Crashes {
		out.Crashes = append(out.Crashes, crashToWire(now, c))
	}
	for _, t := range r.Trials {
		out.Trials = append(out.Trials, &wire.ContentTrial{
			Id: t.ID, AgeMs: ageToWire(now, t.At), HasBegun: t.HasBegun, HasEnded: t.HasEnded, IsVoid: t.Void,
		})
	}
	return out
}

func contentReportFromWire(now time.Time, w *wire.ContentCrashes) quarantine.ContentReport {
	out := quarantine.ContentReport{Fingerprint: quarantine.Fingerprint(w.Fingerprint)}
	for _, c := range w.Crashes {
		out.Crashes = append(out.Crashes, crashFromWire(now, c))
	}
	for _, t := range w.Trials {
		out.Trials = append(out.Trials, quarantine.ContentTrial{
			ID: t.Id, At: now.Add(-time.Duration(t.AgeMs) * time.Millisecond), HasBegun: t.HasBegun, HasEnded: t.HasEnded, Void: t.IsVoid,
		})
	}
	return out
}

// ageToWire returns how long ago a time was, in milliseconds.
func ageToWire(now, t time.Time) uint32 { return uint32(max(0, now.Sub(t).Milliseconds())) }

func partReportToWire(now time.Time, r quarantine.PartReport) *wire.PartCrash {
	crash := quarantine.ContentCrash{Crash: r.Crash, At: r.At, IsConfirmed: r.IsConfirmed, Void: r.Void}
	return &wire.PartCrash{Crash: crashToWire(now, crash), Parts: partsToWire(r.Parts), ClearedParts: partsToWire(r.Cleared)}
}

func partReportFromWire(now time.Time, w *wire.PartCrash) quarantine.PartReport {
	c := crashFromWire(now, w.Crash)
	return quarantine.PartReport{
		Crash: c.Crash, At: c.At, IsConfirmed: c.IsConfirmed, Void: c.Void,
		Parts: partsFromWire(w.Parts), Cleared: partsFromWire(w.ClearedParts),
	}
}

func partsToWire(parts []quarantine.Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = uint64(p)
	}
	return out
}

func partsFromWire(ids []uint64) []quarantine.Part {
	out := make([]quarantine.Part, len(ids))
	for i, id := range ids {
		out[i] = quarantine.Part(id)
	}
	return out
}

func crashToWire(now time.Time, c quarantine.ContentCrash) *wire.ServerCrash {
	return &wire.ServerCrash{
		Server: c.Server, Incarnation: c.Incarnation, AgeMs: ageToWire(now, c.At), IsVoid: c.Void, IsConfirmed: c.IsConfirmed,
	}
}

func crashFromWire(now time.Time, c *wire.ServerCrash) quarantine.ContentCrash {
	return quarantine.ContentCrash{
		Crash: quarantine.Crash{Server: c.Server, Incarnation: c.Incarnation},
		At:    now.Add(-time.Duration(c.AgeMs) * time.Millisecond),

		IsConfirmed: c.IsConfirmed,
		Void:        c.IsVoid,
	}
}

package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/quarantine"
)

// maxReportedContents bounds the contents in one message. The others follow in the next ones.
const maxReportedContents = 256

// CrashEvidence is the evidence about content that crashes backend servers, as far as the
// instances have exchanged it. It is safe for concurrent use.
type CrashEvidence struct {
	// contents is the number of contents with known crashes, so that Check costs no lock while
	// there is none.
	contents atomic.Int64
	// onChange is called without the lock when this instance has something to report.
	onChange func()

	mu       sync.Mutex
	evidence *quarantine.Evidence
}

func newCrashEvidence(onChange func()) *CrashEvidence {
	return &CrashEvidence{evidence: quarantine.NewEvidence(), onChange: onChange}
}

// IsEmpty reports whether no content with crashes is known.
func (c *CrashEvidence) IsEmpty() bool { return c.contents.Load() == 0 }

// Check returns how the content may run.
func (c *CrashEvidence) Check(now time.Time, f quarantine.Fingerprint) quarantine.Verdict {
	if c.IsEmpty() {
		return quarantine.Clear
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.Check(now, f)
}

// Turn returns the next time at which a suspect may start to run.
func (c *CrashEvidence) Turn(now time.Time, f quarantine.Fingerprint) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.Turn(now, f)
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
	c.contents.Store(int64(c.evidence.Len()))
	c.mu.Unlock()
	if changed {
		c.onChange()
	}
}

// merge applies what another instance reports, and reports whether anything has changed.
func (c *CrashEvidence) merge(now time.Time, reports []*wire.ContentCrashes) bool {
	if len(reports) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for _, w := range reports {
		if c.evidence.Merge(now, contentReportFromWire(now, w)) {
			changed = true
		}
	}
	c.contents.Store(int64(c.evidence.Len()))
	return changed
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
	sent    uint64
	isFull  bool // everything known was sent once
}

// next returns the contents to send in the next message.
func (r *crashReporter) next(now time.Time) []*wire.ContentCrashes {
	r.evidence.mu.Lock()
	defer r.evidence.mu.Unlock()
	reports, upTo := r.evidence.evidence.Since(r.sent, r.ownOnly && r.isFull, maxReportedContents)
	r.sent = upTo
	r.isFull = r.isFull || upTo == r.evidence.evidence.Revision()
	out := make([]*wire.ContentCrashes, 0, len(reports))
	for _, report := range reports {
		out = append(out, contentReportToWire(now, report))
	}
	return out
}

func contentReportToWire(now time.Time, r quarantine.ContentReport) *wire.ContentCrashes {
	out := &wire.ContentCrashes{Fingerprint: uint64(r.Fingerprint)}
	for _, c := range r.Crashes {
		out.Crashes = append(out.Crashes, &wire.ServerCrash{
			Server: c.Server, Incarnation: c.Incarnation, AgeMs: uint32(max(0, now.Sub(c.At).Milliseconds())), IsVoid: c.Void, IsConfirmed: c.IsConfirmed,
		})
	}
	return out
}

func contentReportFromWire(now time.Time, w *wire.ContentCrashes) quarantine.ContentReport {
	out := quarantine.ContentReport{Fingerprint: quarantine.Fingerprint(w.Fingerprint)}
	for _, c := range w.Crashes {
		out.Crashes = append(out.Crashes, quarantine.ContentCrash{
			Crash: quarantine.Crash{Server: c.Server, Incarnation: c.Incarnation},
			At:    now.Add(-time.Duration(c.AgeMs) * time.Millisecond),

			IsConfirmed: c.IsConfirmed,
			Void:        c.IsVoid,
		})
	}
	return out
}

package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/quarantine"
)

const (
	// soundAfter is how long a run must have sent events to count as sound. A part that crashes
	// servers does so when they begin to write an answer.
	soundAfter = 500 * time.Millisecond
	// writingGap is the time between two events after which a run counts as having begun again.
	writingGap = 300 * time.Millisecond
)

// writing is how long the current run of an attempt has been sending events. It is safe for concurrent
// use.
type writing struct {
	mu sync.Mutex
	// first is when the attempt sent its first event, or zero.
	first time.Time
	// since is when the run on the current path sent its first event, or its first one after a pause, or
	// zero; last is when it sent its latest.
	since, last time.Time
	isSound     bool
	// head is the first server, and isUncertain means that the answer ended as it does if that server
	// ends.
	head        quarantine.Crash
	isUncertain bool
	// wasSound is set if the run on the previous path was sound and no event has followed since.
	wasSound bool
}

// restart records that the request continues on a path, given by the crashes that would end it.
func (w *writing) restart(path []quarantine.Crash) {
	if len(path) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wasSound = w.isSound
	w.since, w.last, w.isSound = time.Time{}, time.Time{}, false
	w.head, w.isUncertain = path[0], false
}

// end records the end of the answer.
func (w *writing) end(endsWithConnection bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isUncertain = endsWithConnection && !w.isSound
}

// uncertainHead returns the first server if the answer may have ended because that server has.
func (w *writing) uncertainHead() (head quarantine.Crash, isUncertain bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.head, w.isUncertain
}

// record records an event. It returns when the attempt began to write if its run is sound since this
// event. A run that goes on after a pause or on another path has not begun again: its first server began
// to write before.
func (w *writing) record(now time.Time) (begun time.Time, isSoundNow bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first.IsZero() {
		w.first = now
	}
	if w.since.IsZero() || now.Sub(w.last) > writingGap {
		w.since, w.isSound = now, false
	}
	w.last, w.wasSound = now, false
	if w.isSound || now.Sub(w.since) < soundAfter {
		return time.Time{}, false
	}
	w.isSound = true
	return w.first, true
}

// provedSound reports whether the run proved sound on its servers, or on those that it has left.
func (w *writing) provedSound() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isSound || w.wasSound
}

// begun returns when the attempt sent its first event, or zero.
func (w *writing) begun() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.first
}

// recordWriting records that an attempt has brought an event of its answer.
func (g *Gateway) recordWriting(a *attempt, now time.Time) {
	if a.relay != nil {
		return // the other instance does
	}
	if begun, isSoundNow := a.writing.record(now); isSoundNow {
		g.clearParts(a.draft.job, begun)
	}
}

// recordCompletedRun records that an attempt has ended with a whole answer.
func (g *Gateway) recordCompletedRun(a *attempt) {
	if a.relay != nil {
		return // the other instance does
	}
	j := a.draft.job
	if head, isUncertain := a.writing.uncertainHead(); isUncertain {
		a.draft.isUncertain.Store(true)
		g.verifyCompleted(j, a.writing.begun(), head)
		return
	}
	if begun := a.writing.begun(); !begun.IsZero() {
		g.clearParts(j, begun)
	}
}

// verifyDelay is the time after the end of an answer at which its server is probed.
const verifyDelay = 100 * time.Millisecond

// verifyCompleted finds out whether an answer ended because its server did. A crash that is found later
// is attributed to the run, too.
func (g *Gateway) verifyCompleted(j *job, begun time.Time, head quarantine.Crash) {
	r := lostRun{job: j, crash: head, at: time.Now()}
	if found, isKnown := g.lost.add(r); isKnown {
		g.attributeCrash(r, found.isConfirmed)
		return
	}
	time.AfterFunc(verifyDelay, func() {
		if !g.probeLost(head) && !g.lost.hasCrash(head) && g.view.Load().crashOf(head.Server) == head {
			g.recordAnswered(j)
			if !begun.IsZero() {
				g.clearParts(j, begun)
			}
		}
	})
}

// attributePartCrash records that a server crashed during a run for the parts of its prompt.
func (g *Gateway) attributePartCrash(r lostRun, isConfirmed bool) {
	if !r.provedSound {
		g.evidence.AddPartCrash(time.Now(), r.crash, isConfirmed, r.job.sharedParts)
	}
}

// clearParts records that a run of the request, which began to write its answer at the given time, has
// proved sound.
func (g *Gateway) clearParts(j *job, begun time.Time) {
	if g.evidence.ClearParts(begun, j.sharedParts) {
		g.options.Log.Info("a run has cleared the parts of its prompt of crashes", "request", j.header.ID, "parts", formatParts(j.sharedParts))
	}
}

// parseParts returns the parts with the IDs.
func parseParts(ids []string) []quarantine.Part {
	if len(ids) == 0 {
		return nil
	}
	out := make([]quarantine.Part, len(ids))
	for i, id := range ids {
		out[i] = quarantine.ParsePart(id)
	}
	return out
}

// formatParts returns the IDs of parts, separated by spaces.
func formatParts(parts []quarantine.Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.String()
	}
	return strings.Join(ids, " ")
}

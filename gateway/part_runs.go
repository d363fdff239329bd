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

// writing is how long a run on the servers of an attempt has been sending events. It is safe for concurrent
// use.
type writing struct {
	mu sync.Mutex
	// since is when the run sent its first event, or zero, and last when it sent its latest.
	since, last time.Time
	isSound     bool
	// head is the first server.
	head quarantine.Crash
	// wasSound is set if the run on the previous path was sound and no event has followed since.
	wasSound bool
}

// restart records that the attempt continues on a path, given by the crashes that would end it.
func (w *writing) restart(path []quarantine.Crash) {
	if len(path) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wasSound = w.isSound
	w.since, w.last, w.isSound = time.Time{}, time.Time{}, false
	w.head = path[0]
}

// record records an event. It returns when the run began if it is sound since this event.
func (w *writing) record(now time.Time) (begun time.Time, isSoundNow bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since.IsZero() || now.Sub(w.last) > writingGap {
		w.since, w.isSound = now, false
	}
	w.last, w.wasSound = now, false
	if w.isSound || now.Sub(w.since) < soundAfter {
		return time.Time{}, false
	}
	w.isSound = true
	return w.since, true
}

// provedSound reports whether the run proved sound on its servers, or on those that it has left.
func (w *writing) provedSound() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isSound || w.wasSound
}

// run returns when the run sent its first event, or zero, its first server, and whether it has proved
// sound.
func (w *writing) run() (begun time.Time, head quarantine.Crash, isSound bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since, w.head, w.isSound
}

// recordWriting records that an attempt has got an event of its answer.
func (g *Gateway) recordWriting(a *attempt, now time.Time) {
	j := a.draft.job
	if len(j.sharedParts) == 0 {
		return
	}
	if begun, isSoundNow := a.writing.record(now); isSoundNow {
		g.clearParts(j, begun)
	}
}

// recordCompleted records that an attempt has ended with a whole answer.
func (g *Gateway) recordCompleted(a *attempt, endsWithConnection bool) {
	j := a.draft.job
	if len(j.sharedParts) == 0 {
		return
	}
	begun, head, isSound := a.writing.run()
	switch {
	case begun.IsZero():
	case isSound:
		g.clearParts(j, begun)
	case endsWithConnection || g.evidence.HasPartCrashes():
		g.verifyCompleted(j, begun, head)
	}
}

// verifyDelay is the least time after the end of an answer at which its server is probed.
const verifyDelay = 100 * time.Millisecond

// verifyCompleted finds out whether a server has survived a run that ended before it had proved sound:
// the rest of an answer may be short, and the end of a server may look like that of the answer. A crash
// that is found later is attributed to the run, too.
func (g *Gateway) verifyCompleted(j *job, begun time.Time, head quarantine.Crash) {
	r := lostRun{job: j, crash: head, at: time.Now(), isAnswered: true}
	if found, isKnown := g.lost.add(r); isKnown {
		g.attributePartCrash(r, found.isConfirmed)
		return
	}
	time.AfterFunc(max(verifyDelay, soundAfter-time.Since(begun)), func() {
		if !g.evidence.HasPartCrashes() {
			return
		}
		g.probeLost(head)
		if !g.lost.hasCrash(head) && g.view.Load().crashOf(head.Server) == head {
			g.clearParts(j, begun)
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

package emulate

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// FaultKind names a fault of one server.
type FaultKind string

// The faults that a server can be given.
const (
	// FaultCrash ends the server: its listener and connections are closed for good.
	FaultCrash FaultKind = "crash"
	// FaultSilence makes the open connections deliver nothing more; new ones work.
	FaultSilence FaultKind = "silence"
	// FaultFreeze stops the server from doing anything; connections stay open.
	FaultFreeze FaultKind = "freeze"
	// FaultStall stops the steps alone; the server still answers.
	FaultStall FaultKind = "stall"
	// FaultSlowStep and FaultSlowLink make steps and links slower by Factor.
	FaultSlowStep FaultKind = "slow_step"
	FaultSlowLink FaultKind = "slow_link"
	// FaultCrashOn crashes the server when it opens a stage whose prompt holds Content.
	FaultCrashOn FaultKind = "crash_on"
	// FaultRefuse refuses stages and calls before they run, and says so.
	FaultRefuse FaultKind = "refuse"
	// FaultLate sends every frame Millis late.
	FaultLate FaultKind = "late"
	// FaultReorder, FaultDuplicate and FaultOldAttempt disturb the token frames.
	FaultReorder    FaultKind = "reorder"
	FaultDuplicate  FaultKind = "duplicate"
	FaultOldAttempt FaultKind = "old_attempt"
	// FaultWrongLayers reports one layer too few.
	FaultWrongLayers FaultKind = "wrong_layers"
	// FaultMalformed, FaultHuge and FaultForeign send, before each token, a line that is not
	// a frame, one that is too long, and a token of another request.
	FaultMalformed FaultKind = "malformed"
	FaultHuge      FaultKind = "huge"
	FaultForeign   FaultKind = "foreign"
	// FaultMute stops the announcements.
	FaultMute FaultKind = "mute"
	// FaultIgnoreFences makes the server take orders with old fencing numbers.
	FaultIgnoreFences FaultKind = "ignore_fences"
	// FaultNone ends all faults but a crash.
	FaultNone FaultKind = "none"
)

// Fault is the body of a POST to PathFault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Factor is for slow steps and links.
	Factor float64 `json:"factor,omitempty"`
	// Content is for crashes on content.
	Content string `json:"content,omitempty"`
	// Millis is for late frames.
	Millis int `json:"millis,omitempty"`
}

// faults are the faults in force at one engine.
type faults struct {
	mu      sync.Mutex
	active  map[FaultKind]Fault
	thawed  chan struct{} // closed when nothing stops the steps
	epoch   int           // connections of an older epoch are silent
	crashed chan struct{}
}

func newFaults() *faults {
	thawed := make(chan struct{})
	close(thawed)
	return &faults{active: make(map[FaultKind]Fault), thawed: thawed, crashed: make(chan struct{})}
}

// set puts a fault in force.
func (f *faults) set(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch x.Kind {
	case FaultNone:
		clear(f.active)
		f.thaw()
	case FaultSilence:
		f.epoch++
	case FaultCrash:
		f.crash()
	case FaultFreeze, FaultStall:
		f.freeze()
		f.active[x.Kind] = x
	default:
		f.active[x.Kind] = x
	}
}

func (f *faults) crash() {
	select {
	case <-f.crashed:
	default:
		close(f.crashed)
	}
}

func (f *faults) freeze() {
	select {
	case <-f.thawed:
		f.thawed = make(chan struct{})
	default:
	}
}

func (f *faults) thaw() {
	select {
	case <-f.thawed:
	default:
		close(f.thawed)
	}
}

func (f *faults) get(k FaultKind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.active[k]
	return x, ok
}

func (f *faults) has(k FaultKind) bool {
	_, ok := f.get(k)
	return ok
}

func (f *faults) isCrashed() bool {
	select {
	case <-f.crashed:
		return true
	default:
		return false
	}
}

// waitToRun returns true once nothing stops the steps, and false when ctx has ended or the server
// has crashed.
func (f *faults) waitToRun(ctx context.Context) bool {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	select {
	case <-thawed:
		return ctx.Err() == nil && !f.isCrashed()
	case <-f.crashed:
		return false
	case <-ctx.Done():
		return false
	}
}

// waitWhileFrozen waits while the whole server is frozen.
func (f *faults) waitWhileFrozen() {
	if !f.has(FaultFreeze) {
		return
	}
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	select {
	case <-thawed:
	case <-f.crashed:
	}
}

func (f *faults) factor(k FaultKind) float64 {
	if x, ok := f.get(k); ok && x.Factor > 0 {
		return x.Factor
	}
	return 1
}

func (f *faults) stepFactor() float64 { return f.factor(FaultSlowStep) }

// linkDelay applies a slow link to what a transfer takes.
func (f *faults) linkDelay(d time.Duration) time.Duration {
	return time.Duration(float64(d) * f.factor(FaultSlowLink))
}

// crashOnPrompt crashes the server when the prompt holds the content of a fault.
func (f *faults) crashOnPrompt(prompt string) {
	x, ok := f.get(FaultCrashOn)
	if ok && x.Content != "" && strings.Contains(prompt, x.Content) {
		f.set(Fault{Kind: FaultCrash})
	}
}

// reportedLayers returns the layers that the server says it ran.
func (f *faults) reportedLayers(r fleet.Range) fleet.Range {
	if f.has(FaultWrongLayers) {
		r.To--
	}
	return r
}

func (f *faults) currentEpoch() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epoch
}

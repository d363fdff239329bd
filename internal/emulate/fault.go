package emulate

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// FaultKind is a kind of fault that can be injected into an emulated server.
type FaultKind string

// The kinds of faults.
const (
	// FaultCrash closes the server's listener and connections permanently.
	FaultCrash FaultKind = "crash"
	// FaultSilence blackholes the open connections: they stay open and transfer no more data.
	// New connections work.
	FaultSilence FaultKind = "silence"
	// FaultFreeze suspends the server; connections stay open.
	FaultFreeze FaultKind = "freeze"
	// FaultStall stops only the steps of the engine; the server still responds to requests.
	FaultStall FaultKind = "stall"
	// FaultSlowStep and FaultSlowLink multiply the times of steps and links by Factor.
	FaultSlowStep FaultKind = "slow_step"
	FaultSlowLink FaultKind = "slow_link"
	// FaultCrashOn crashes the server when it opens a stage whose prompt contains Content.
	FaultCrashOn FaultKind = "crash_on"
	// FaultRefuse refuses stages and calls before they run, with the outcome not_run. With Millis the
	// server asks for a pause of that time.
	FaultRefuse FaultKind = "refuse"
	// FaultLeavingInAnswers makes the server say that it leaves in its responses, but not in its
	// announcements.
	FaultLeavingInAnswers FaultKind = "leaving_in_answers"
	// FaultBrokenHead answers what instances ask, but for orders, with heads that HTTP doesn't allow, each kind in turn, and runs
	// nothing.
	FaultBrokenHead FaultKind = "broken_head"
	// FaultLate delays every frame by Millis.
	FaultLate FaultKind = "late"
	// FaultReorder sends token frames out of order, FaultDuplicate sends each token frame twice,
	// and FaultOldAttempt sends a frame of an earlier attempt before each token frame.
	FaultReorder    FaultKind = "reorder"
	FaultDuplicate  FaultKind = "duplicate"
	FaultOldAttempt FaultKind = "old_attempt"
	// FaultWrongLayers omits the last layer from the range that the server reports to have run.
	FaultWrongLayers FaultKind = "wrong_layers"
	// FaultMalformed, FaultHuge and FaultForeign send an extra line before each token. With
	// FaultMalformed the line is not a frame, with FaultHuge it is too long, and with FaultForeign
	// it is a token of another request.
	FaultMalformed FaultKind = "malformed"
	FaultHuge      FaultKind = "huge"
	FaultForeign   FaultKind = "foreign"
	// FaultMute stops the announcements.
	FaultMute FaultKind = "mute"
	// FaultIgnoreFences makes the server accept orders with stale fencing tokens.
	FaultIgnoreFences FaultKind = "ignore_fences"
	// FaultNone ends all faults, except that a crashed server stays crashed and that the
	// connections that FaultSilence blackholed stay blackholed.
	FaultNone FaultKind = "none"
)

// Fault is the body of a POST to PathFault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Factor is the number by which FaultSlowStep and FaultSlowLink multiply times.
	Factor float64 `json:"factor,omitempty"`
	// Content is the text in a prompt at which FaultCrashOn crashes the server.
	Content string `json:"content,omitempty"`
	// Millis is the time in milliseconds by which FaultLate delays each frame, or that FaultRefuse
	// states in Retry-After.
	Millis int `json:"millis,omitempty"`
}

// faults holds the active faults of one engine.
type faults struct {
	mu     sync.Mutex
	active map[FaultKind]Fault
	thawed chan struct{} // closed while the server is neither frozen nor stalled
	// epoch is incremented by each FaultSilence. Connections that were accepted in an earlier epoch
	// are blackholed: they stay open but carry no data.
	epoch   int
	crashed chan struct{}
}

func newFaults() *faults {
	thawed := make(chan struct{})
	close(thawed)
	return &faults{active: make(map[FaultKind]Fault), thawed: thawed, crashed: make(chan struct{})}
}

// set activates a fault, or ends the active ones for FaultNone.
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

// waitToRun waits while the server is frozen or stalled. It returns false if ctx has ended or the
// server has crashed.
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

// waitWhileFrozen waits while the server is frozen and has not crashed.
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

// linkDelay applies FaultSlowLink to the time of a transfer.
func (f *faults) linkDelay(d time.Duration) time.Duration {
	return time.Duration(float64(d) * f.factor(FaultSlowLink))
}

// crashOnPrompt crashes the server if FaultCrashOn is active and the prompt contains its content.
func (f *faults) crashOnPrompt(prompt string) {
	x, ok := f.get(FaultCrashOn)
	if ok && x.Content != "" && strings.Contains(prompt, x.Content) {
		f.set(Fault{Kind: FaultCrash})
	}
}

// reportedLayers returns the layers that the server reports after it ran the range.
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

package lab

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

const (
	// throttlePeriod is the period of the quota of processor time.
	throttlePeriod = 100 * time.Millisecond
	throttlePoll   = time.Millisecond
)

// throttle holds a process to a share of a core by signals, as a quota of processor time does: once the quota of a period
// is used up, the process stands still until the next one.
type throttle struct {
	process *Process
	quota   time.Duration // in each throttlePeriod
	// onDelay is called when this process was late by throttlePeriod or more, so that the throttled process may have
	// stood still for longer than by its quota.
	onDelay func(from, to time.Time)
}

func newThrottle(p *Process, share float64, onDelay func(from, to time.Time)) *throttle {
	return &throttle{process: p, quota: time.Duration(share * float64(throttlePeriod)), onDelay: onDelay}
}

// run throttles the process, also after it was started again, until ctx ends.
func (h *throttle) run(ctx context.Context) {
	defer h.process.Thaw()
	pid, used, left, isHalted := 0, time.Duration(0), h.quota, false
	end := time.Now().Add(throttlePeriod)
	due := time.Now()
	for ctx.Err() == nil {
		if now := time.Now(); now.Sub(due) >= throttlePeriod {
			h.onDelay(due, now)
		}
		if late := time.Since(end); late >= 0 {
			periods := 1 + late/throttlePeriod
			end = end.Add(periods * throttlePeriod)
			left = min(h.quota, left+periods*h.quota) // what is not used is lost
		}
		if now := h.process.PID(); now != pid {
			pid, used, left, isHalted = now, 0, h.quota, false
		}
		if total, err := processorTime(pid); err == nil {
			left -= total - used
			used = total
		}
		wait := throttlePoll
		switch {
		case left <= 0:
			if !isHalted {
				h.process.Freeze()
			}
			isHalted, wait = true, time.Until(end)
		case isHalted:
			h.process.Thaw()
			isHalted = false
		}
		due = time.Now().Add(wait)
		sleepUntil(ctx, due)
	}
}

// processorTime returns the processor time that all threads of a process have used.
func processorTime(pid int) (time.Duration, error) {
	const schedClock = 2 // CPUCLOCK_SCHED
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|schedClock), &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

func TestThrottleHoldsAProcessToItsShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newProcess("busy", t.TempDir()+"/log", "/bin/sh", "-c", "while :; do :; done")
	is.NoErr(p.Start())
	defer p.Kill()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	newThrottle(p, 0.1, func(time.Time, time.Time) {}).run(ctx)
	used, err := processorTime(p.PID())
	is.NoErr(err)
	is.True(used < 500*time.Millisecond) // 0.3 s and the time by which this process is late
}

package selfreport

import (
	"slices"
	"time"
)

const (
	// minPause and maxPause bound the pause that a server may ask for. A longer one is asked about
	// again by a trial request after maxPause.
	minPause = 100 * time.Millisecond
	maxPause = time.Minute
	// unreadablePause is assumed if the server has asked for a pause that can't be read.
	unreadablePause = time.Second
	// spreadPart is the part of a pause by which the return to the server is delayed at random, at
	// most maxSpread, so that the instances don't return at the same moment.
	spreadPart = 0.1
	maxSpread  = 500 * time.Millisecond
	// trialInterval is the time after which another trial request is sent though the one before has
	// not been answered yet.
	trialInterval = 500 * time.Millisecond
	// maxTrials is the number of unanswered requests at which the server counts as recovered.
	maxTrials = 8
)

// PauseRequest is what a server has asked for.
type PauseRequest struct {
	// Stated is the value as the server has stated it.
	Stated string
	// IsReadable means that Duration holds it.
	IsReadable bool
	Duration   time.Duration
}

// bounded returns the pause that is kept, and whether it differs from the one that was asked for.
func (p PauseRequest) bounded() (d time.Duration, isBounded bool) {
	if !p.IsReadable {
		return unreadablePause, true
	}
	d = min(max(p.Duration, minPause), maxPause)
	return d, d != p.Duration
}

// pause is the report of a server that it wants no requests for a time. Afterwards the server gets one
// trial request first, and then more with each one that it answers.
type pause struct {
	source Source
	since  time.Time
	// until is the end that the server has asked for, and returnAt that of this instance's return.
	until    time.Time
	returnAt time.Time

	// generation counts the pauses, so that the answer to an earlier trial has no effect on a later
	// pause.
	generation int
	// trials is the number of unanswered requests that were sent since returnAt, and limit the number
	// that is allowed.
	trials      int
	limit       int
	lastTrialAt time.Time
}

// Paused describes a pause that has begun.
type Paused struct {
	// IsNew is false if the pause was counting already.
	IsNew bool
	// Duration is the time that is kept, and IsBounded means that the server has stated another one.
	Duration  time.Duration
	IsBounded bool
}

// AddPause records that a server has asked for a pause. random spreads the end of the pause; it is at
// least 0 and less than 1. A pause doesn't become shorter by a later answer, which may be older.
func (r *Reports) AddPause(now time.Time, s Server, source Source, p PauseRequest, random float64) Paused {
	x := r.heard(now, s)
	if x == nil {
		return Paused{}
	}
	d, isBounded := p.bounded()
	result := Paused{IsNew: x.pause == nil || !now.Before(x.pause.until), Duration: d, IsBounded: isBounded}
	until := now.Add(d)
	if x.pause == nil {
		x.pause = &pause{source: source, since: now}
	}
	if result.IsNew {
		x.pause.source, x.pause.since = source, now
	}
	if until.After(x.pause.until) {
		x.pause.until = until
		x.pause.returnAt = until.Add(time.Duration(random * float64(min(maxSpread, time.Duration(spreadPart*float64(d))))))
	}
	x.pause.generation++
	x.pause.trials, x.pause.limit, x.pause.lastTrialAt = 0, 1, time.Time{}
	return result
}

// takes reports whether the server may get a request now.
func (p *pause) takes(now time.Time) bool {
	return !now.Before(p.returnAt) && (p.trials < p.limit || now.Sub(p.lastTrialAt) >= trialInterval)
}

// next returns when the server may get a request, as far as is known now.
func (p *pause) next(now time.Time) time.Time {
	switch {
	case now.Before(p.returnAt):
		return p.returnAt
	case p.takes(now):
		return now
	default:
		return p.lastTrialAt.Add(trialInterval)
	}
}

// Next returns when a server may get a request again, as far as is known now. It returns false for a
// server that leaves.
func (r *Reports) Next(now time.Time, s Server) (time.Time, bool) {
	switch x := r.find(s); {
	case x == nil:
		return now, true
	case x.leaving != nil:
		return time.Time{}, false
	case x.pause != nil:
		return x.pause.next(now), true
	default:
		return now, true
	}
}

// Returns returns when servers that want nothing now may get requests again, in order.
func (r *Reports) Returns(now time.Time) []time.Time {
	var out []time.Time
	for _, x := range r.servers {
		if x.leaving == nil && x.pause != nil && !x.pause.takes(now) {
			out = append(out, x.pause.next(now))
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// Trial is a request to a server that has asked for a pause before.
type Trial struct {
	server     Server
	generation int
}

// Begin records that a request is sent to servers, all of which take requests. It returns the trials
// among them, each of which must be passed to Done.
func (r *Reports) Begin(now time.Time, servers ...Server) []Trial {
	var trials []Trial
	for _, s := range servers {
		x := r.find(s)
		if x == nil || x.pause == nil {
			continue
		}
		x.pause.trials++
		x.pause.lastTrialAt = now
		trials = append(trials, Trial{server: s, generation: x.pause.generation})
	}
	return trials
}

// Done records the end of trials. isServed means that the servers have taken the request; a server that
// has served several counts as recovered.
func (r *Reports) Done(now time.Time, trials []Trial, isServed bool) []End {
	var ends []End
	for _, t := range trials {
		x := r.find(t.server)
		if x == nil || x.pause == nil || x.pause.generation != t.generation {
			continue
		}
		x.pause.trials--
		if !isServed {
			continue
		}
		if x.pause.limit++; x.pause.limit > maxTrials {
			ends = append(ends, x.pause.end(now, t.server, "serves again"))
			x.pause = nil
			r.removeEmpty(t.server.ID)
		}
	}
	return ends
}

func (p *pause) end(now time.Time, s Server, why string) End {
	return End{Server: s, Kind: WantsNothing, Source: p.source, Age: now.Sub(p.since), Why: why}
}

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
	// trialInterval is the time after which another request is sent though those before have not been
	// answered yet.
	trialInterval = 500 * time.Millisecond
	// soon is when a server that has as many unanswered requests as it may have is asked about again.
	soon = 10 * time.Millisecond
	// ceilingPart is the part of the unanswered requests at a refusal that the server may have
	// afterwards. Without another refusal it has as many as before after growthPauses times the pause.
	ceilingPart  = 0.7
	growthPauses = 4
	// rememberFor is how long after the end of a pause the number of unanswered requests is limited.
	rememberFor = 30 * time.Second
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
// trial request first, and one more at the same time with each that it takes, up to a ceiling: otherwise it
// would be full again at once, and ask for the next pause.
type pause struct {
	source Source
	since  time.Time
	// until is the end that the server has asked for, and returnAt that of this instance's return.
	until    time.Time
	returnAt time.Time
	// isOver means that the server has taken a request since.
	isOver bool

	// generation counts the pauses, so that the answer to an earlier request has no effect on a later
	// pause.
	generation int
	// unanswered is the number of unanswered requests that were sent since returnAt, and limit the
	// number that is allowed, at most ceiling.
	unanswered int
	limit      int
	lastSentAt time.Time
	ceiling    int
	// growthInterval is the time after which the ceiling grows, and grownAt when it last changed.
	growthInterval time.Duration
	grownAt        time.Time
}

// Paused describes a pause that has begun.
type Paused struct {
	// IsNew is false if the pause was counting already.
	IsNew bool
	// Duration is the time that is kept, and IsBounded means that the server has stated another one.
	Duration  time.Duration
	IsBounded bool
}

// Load is this instance's load on a server that asks for a pause.
type Load struct {
	// Unanswered is the number of unanswered requests, including the refused one.
	Unanswered int
	// Share is this instance's share of the server's slots, which it may always use after the pause.
	Share int
}

// ceiling returns how many unanswered requests the server may have after the pause.
func (l Load) ceiling() int { return max(1, l.Share, int(ceilingPart*float64(l.Unanswered))) }

// AddPause records that a server has asked for a pause. random spreads the end of the pause; it is at
// least 0 and less than 1. A pause doesn't become shorter by a later answer, which may be older.
func (r *Reports) AddPause(now time.Time, s Server, source Source, request PauseRequest, load Load, random float64) Paused {
	x := r.heard(now, s)
	if x == nil {
		return Paused{}
	}
	d, isBounded := request.bounded()
	result := Paused{IsNew: x.pause == nil || !now.Before(x.pause.until), Duration: d, IsBounded: isBounded}
	if x.pause == nil {
		x.pause = &pause{}
	}
	p := x.pause
	if result.IsNew {
		p.source, p.since, p.isOver = source, now, false
		p.ceiling = load.ceiling()
		p.growthInterval = growthPauses * d / time.Duration(max(1, load.Unanswered-p.ceiling))
	}
	if until := now.Add(d); until.After(p.until) {
		p.until = until
		p.returnAt = until.Add(time.Duration(random * float64(min(maxSpread, time.Duration(spreadPart*float64(d))))))
		p.grownAt = p.returnAt
	}
	p.generation++
	p.unanswered, p.limit, p.lastSentAt = 0, 1, time.Time{}
	return result
}

// takes reports whether the server may get a request now.
func (p *pause) takes(now time.Time) bool {
	switch {
	case now.Before(p.returnAt):
		return false
	case p.unanswered < min(p.limit, p.ceiling) || now.Sub(p.lastSentAt) >= trialInterval:
		return true
	default:
		return p.isOver && now.Sub(p.returnAt) >= rememberFor
	}
}

// next returns when the server may get a request, as far as is known now.
func (p *pause) next(now time.Time) time.Time {
	switch {
	case now.Before(p.returnAt):
		return p.returnAt
	case p.takes(now):
		return now
	default:
		return now.Add(soon)
	}
}

// served records that the server has taken a request that was sent after the pause.
func (p *pause) served(now time.Time) {
	p.limit++
	if now.Sub(p.grownAt) >= p.growthInterval {
		p.ceiling++
		p.grownAt = now
	}
}

// Next returns when a server may get a request again, as far as is known now. It returns false for a
// server that leaves.
func (r *Reports) Next(now time.Time, s Server) (time.Time, bool) {
	at, mayReturn := r.PauseEnd(now, s)
	if x := r.find(s); mayReturn && x != nil && x.limit != nil {
		if next := x.limit.next(now); next.After(at) {
			return next, true
		}
	}
	return at, mayReturn
}

// PauseEnd returns when a server may get work again, as far as is known now, whatever its limit on
// requests. It returns false for a server that leaves.
func (r *Reports) PauseEnd(now time.Time, s Server) (time.Time, bool) {
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
// among them, which must be passed to Done.
func (r *Reports) Begin(now time.Time, servers ...Server) []Trial {
	var trials []Trial
	for _, s := range servers {
		x := r.find(s)
		if x == nil || x.pause == nil {
			continue
		}
		x.pause.unanswered++
		x.pause.lastSentAt = now
		trials = append(trials, Trial{server: s, generation: x.pause.generation})
	}
	return trials
}

// Done records the end of trials. isServed means that the servers have taken the request, which ends
// their pauses.
func (r *Reports) Done(now time.Time, trials []Trial, isServed bool) []End {
	var ends []End
	for _, t := range trials {
		x := r.find(t.server)
		if x == nil || x.pause == nil || x.pause.generation != t.generation {
			continue
		}
		x.pause.unanswered--
		if !isServed {
			continue
		}
		x.pause.served(now)
		if !x.pause.isOver {
			x.pause.isOver = true
			ends = append(ends, x.pause.end(now, t.server, "serves again"))
		}
	}
	return ends
}

func (p *pause) end(now time.Time, s Server, why string) End {
	return End{Server: s, Kind: WantsNothing, Source: p.source, Age: now.Sub(p.since), Why: why}
}

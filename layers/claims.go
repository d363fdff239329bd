package layers

import (
	"math"
	"time"
)

const (
	// reportLag is how long it takes until other instances know of a draft that this one has sent.
	reportLag = 250 * time.Millisecond
	// demandWindows is the number of report lags over which an instance averages its own demand.
	demandWindows = 24
	// minDemandWindows is the least number of them, so that what arrives while an instance starts doesn't count
	// as its usual demand.
	minDemandWindows = 4
	// releaseShare is the share of the memory that running drafts are expected to free within a report
	// lag that counts as free now. The rest covers the variance of the drafts that all instances send.
	releaseShare = 0.65
	// minDraftTime and maxDraftTime bound the estimated time that a draft of mean length runs.
	minDraftTime = time.Second
	maxDraftTime = 8 * time.Second
)

// Demand is what one instance wants to send within a report lag: drafts, and their tokens at admission.
type Demand struct{ Drafts, Tokens float64 }

// Claims tracks the demand of one instance. It is not safe for concurrent use.
type Claims struct {
	windows [demandWindows]demandWindow
	// first is the window of the first draft.
	first int64
}

type demandWindow struct {
	number int64
	demand Demand
}

// ClaimWindow returns the number of the window to which a time belongs. A window lasts for a report lag.
func ClaimWindow(now time.Time) int64 { return now.UnixNano() / int64(reportLag) }

// Record counts a draft that looks for a path. A draft that waits counts once in each window, whether or not
// it was held back: demand is what would be sent if there were room.
func (c *Claims) Record(window int64, d Draft) {
	w := &c.windows[window%demandWindows]
	if w.number != window {
		*w = demandWindow{number: window}
	}
	if c.first == 0 {
		c.first = window
	}
	w.demand.Drafts++
	w.demand.Tokens += d.admissionTokens()
}

// Mean returns the mean demand per window. It is asked for when a draft was just recorded, so one draft counts
// half: otherwise instances that seldom send would overestimate their demand.
func (c *Claims) Mean(window int64) Demand {
	var sum Demand
	for _, w := range c.windows {
		if w.number > window-demandWindows && w.number <= window {
			sum.Drafts += w.demand.Drafts
			sum.Tokens += w.demand.Tokens
		}
	}
	n := float64(min(demandWindows, max(minDemandWindows, window-c.first+1)))
	if sum.Drafts > 0 {
		n *= sum.Drafts / (sum.Drafts - 0.5)
	}
	return Demand{Drafts: sum.Drafts / n, Tokens: sum.Tokens / n}
}

// Claim is what a search needs to know of the other instances, which choose servers at the same time with
// reports as old.
type Claim struct {
	// Key is a hash of the request, the window and the instance.
	Key uint64
	// Demand is the mean demand of this instance per window.
	Demand Demand
	// Local is the number of instances that are likely to use the servers of the caller's data centre, and
	// All that of all instances, which may use those of other data centres. Both include this instance.
	Local, All float64
	// HeldBack is set by Find to the number of servers that were left to other instances.
	HeldBack int
}

// ClaimKey returns the key of a request in a window at an instance.
func ClaimKey(request, instance string, window int64) uint64 {
	return mix(hashString(request)^mix(hashString(instance))) ^ mix(uint64(window))
}

// key returns the key, or 0 if there is no claim.
func (c *Claim) key() uint64 {
	if c == nil {
		return 0
	}
	return c.Key
}

// sharers returns the number of instances that are likely to use a holder.
func (c *Claim) sharers(h *Holder, home string) float64 {
	if h.DataCentre == home {
		return c.Local
	}
	return c.All
}

// holdBack removes nearly full servers from the options of a draft that is to be sent to another one.
//
// If all instances send their demand to the same server within one report lag, the server needs room for
// Demand times the number of instances. A server with less gets the share room / need of the drafts. The
// drafts are spread over the interval from 0 to 1 by Key, and each server gets a section of that length; the
// sections of servers with the same layers follow each other. Sections of servers with other layers overlap, so
// that a draft with room at the tightest layer has room at all of them.
func (s *Search) holdBack(options []option, q *Query) {
	c := q.Claim
	if c == nil {
		return
	}
	c.HeldBack = 0
	if q.Started || len(q.Running) > 0 || c.Local <= 1 && c.All <= 1 || c.Demand.Drafts <= 0 || c.Demand.Tokens <= 0 || !s.isTight(options, q) {
		return
	}
	released := releaseShare * float64(reportLag) / float64(s.DraftTime())
	ticket := unitInterval(c.Key)
	width := len(s.centres)
	memory, slots := make([]float64, len(s.bounds)*width), make([]float64, width)
	for i := range s.holders {
		h, o := &s.holders[i], &options[i]
		if !o.isUsable {
			continue
		}
		sharers, centre := c.sharers(h, q.Home), s.rates[i].centre
		if o.mayStart && h.From == 0 && s.engine.Slots > 0 {
			free := float64(max(0, s.engine.Slots-h.Heads-h.UnaccountedHeads)) + released*float64(h.Heads)
			o.mayStart = takeSection(&slots[centre], free/(sharers*c.Demand.Drafts), ticket)
		}
		isAllowed := s.takeSections(memory, i, centre, (max(0, o.free)+released*h.Used)/(sharers*c.Demand.Tokens*float64(h.To-h.From)), ticket)
		if !isAllowed || h.From == 0 && !o.mayStart {
			c.HeldBack++
		}
		o.isUsable = isAllowed
	}
}

// isTight reports whether a server has less room than what all instances may send to it within a report lag.
func (s *Search) isTight(options []option, q *Query) bool {
	c := q.Claim
	for i := range s.holders {
		h, o := &s.holders[i], &options[i]
		sharers := c.sharers(h, q.Home)
		if !o.isUsable {
			continue
		}
		if o.free < sharers*c.Demand.Tokens*float64(h.To-h.From) {
			return true
		}
		if h.From == 0 && s.engine.Slots > 0 && float64(s.engine.Slots-h.Heads-h.UnaccountedHeads) < sharers*c.Demand.Drafts {
			return true
		}
	}
	return false
}

// takeSections gives a holder its section at each of its layers, and reports whether the ticket lies in the
// one in the middle of its range.
func (s *Search) takeSections(ends []float64, holder, centre int, length, ticket float64) bool {
	h, width := &s.holders[holder], len(s.centres)
	middle, isAllowed := (h.From+h.To)/2, false
	for at := 0; at+1 < len(s.bounds); at++ {
		if s.bounds[at] < h.From || s.bounds[at] >= h.To {
			continue
		}
		isIn := takeSection(&ends[at*width+centre], length, ticket)
		if s.bounds[at] <= middle {
			isAllowed = isIn
		}
	}
	return isAllowed
}

// takeSection takes the next section of the given length and reports whether the ticket lies in it. Sections
// go on at 0 after 1.
func takeSection(end *float64, length, ticket float64) bool {
	if length >= 1 {
		return true
	}
	begin := *end
	*end = begin + length
	offset := ticket - begin
	return offset-math.Floor(offset) < length
}

// DraftTime estimates how long a draft of mean length runs at the load that the search knows.
func (s *Search) DraftTime() time.Duration {
	stepMS, held := 0.0, 0.0
	perDraft := s.engine.StepPerRequestMS + s.engine.StepPerThousandMS*meanTokens(s.engine)/1000
	for i := range s.holders {
		h := &s.holders[i]
		n := float64(h.To - h.From)
		stepMS += n * s.rates[i].step * (s.engine.StepMS + perDraft*float64(h.Drafts))
		held += n
	}
	if held == 0 {
		return minDraftTime
	}
	ms := s.engine.MeanAnswerTokens * stepMS / held
	return min(maxDraftTime, max(minDraftTime, time.Duration(ms*float64(time.Millisecond))))
}

// unitInterval maps a hash to the interval from 0 to 1, which excludes 1.
func unitInterval(key uint64) float64 { return float64(mix(key)>>11) / (1 << 53) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

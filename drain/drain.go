// Package drain plans how backend servers are retired by a date without losing capacity.
//
// A move drains its servers one after the other, spread over the time up to its date. A server
// is drained only when those that stay can still run every layer of the service and carry the
// work of the moment.
package drain

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// Move retires the backend servers of one service by a date.
type Move struct {
	Name    string
	Service string
	// Model is the service's model, "" for a plain service. Layers is its number of layers.
	Model  string
	Layers int
	// DataCentre names the data centre whose servers are retired; "" means those of Servers.
	DataCentre string
	Servers    []string
	// Start is when the first server is drained, Date when the last one must be idle.
	Start time.Time
	Date  time.Time
}

// Server is a backend server as a move sees it.
type Server struct {
	fleet.BackendServer
	// DrainedAt is when its drain began, zero when it takes new work.
	DrainedAt time.Time
	// InFlight is the work that it still has.
	InFlight int
}

func (s Server) isDrained() bool { return !s.DrainedAt.IsZero() || s.Leaving }

func (s Server) isIdle() bool { return s.isDrained() && s.InFlight == 0 }

// Fleet is what a decision is made on.
type Fleet struct {
	// Servers are those with a lease.
	Servers []Server
	// Gone are drained servers without a lease, by the time their drain began.
	Gone map[string]time.Time
}

const (
	// headroom is the factor over the present work that the servers that stay must carry.
	headroom = 1.25
	// drainReserve is the share of the time before the date that is left for the last drain.
	drainReserve = 0.1
)

// Risk tells why a date may be missed.
type Risk string

// The risks of a move.
const (
	RiskNone Risk = ""
	// RiskCapacity means that the servers that stay can't carry the work.
	RiskCapacity Risk = "the servers that stay can't carry the work"
	// RiskLayers means that no chain would be left.
	RiskLayers Risk = "the servers that stay don't cover all layers"
	// RiskLate means that the forecast lies behind the date.
	RiskLate Risk = "the forecast lies behind the date"
	// RiskOverdue means that the date has passed.
	RiskOverdue Risk = "the date has passed"
)

// Progress is the state of one move.
type Progress struct {
	Move Move
	// Total is the number of servers of the move, Drained those that take no new work, Done
	// those that are idle or gone.
	Total   int
	Drained int
	Done    int
	// Forecast is when the last server will be idle, zero when that can't be told.
	Forecast time.Time
	Risk     Risk
	// Next is the server that may be drained now, or "".
	Next string
}

// IsDone reports whether no server is left.
func (p Progress) IsDone() bool { return p.Done == p.Total }

// Look returns the state of a move and what may be drained next.
func Look(now time.Time, m Move, f Fleet) Progress {
	own := m.own(f)
	p := Progress{Move: m, Total: len(own)}
	for _, name := range m.Servers {
		if _, ok := f.Gone[name]; ok {
			p.Total++
			p.Drained++
			p.Done++
		}
	}
	for _, s := range own {
		if s.isDrained() {
			p.Drained++
		}
		if s.isIdle() {
			p.Done++
		}
	}
	blocked := RiskNone
	if p.Drained < p.Total {
		p.Next, blocked = m.next(own, f)
	}
	p.Forecast = m.forecast(now, p, own, f)
	p.Risk = m.risk(now, p, blocked)
	if !m.isDue(now, p) {
		p.Next = ""
	}
	return p
}

// own returns the servers with a lease that the move retires, by name.
func (m Move) own(f Fleet) []Server {
	var out []Server
	for _, s := range f.Servers {
		if m.runs(s) && m.names(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (m Move) runs(s Server) bool {
	if m.Model != "" {
		return s.Model == m.Model
	}
	return s.Runs(m.Service)
}

func (m Move) names(s Server) bool {
	if m.DataCentre != "" {
		return s.DataCentre == m.DataCentre
	}
	return slices.Contains(m.Servers, s.Name)
}

// next returns the server whose drain leaves the most capacity, or why there is none. Only one
// server of a move drains at a time.
func (m Move) next(own []Server, f Fleet) (string, Risk) {
	for _, s := range own {
		if s.isDrained() && !s.isIdle() {
			return "", RiskNone
		}
	}
	blocked := RiskNone
	best := ""
	most := -1
	for _, s := range own {
		if s.isDrained() {
			continue
		}
		if r := m.check(s.Name, f); r != RiskNone {
			blocked = r
			continue
		}
		// The narrowest layer's capacity decides; among equals the one with the least work goes.
		if left := m.capacity(s.Name, f)*maxWork - min(s.InFlight, maxWork-1); left > most {
			most = left
			best = s.Name
		}
	}
	if best != "" {
		return best, RiskNone
	}
	return "", blocked
}

// maxWork orders servers of equal capacity by their work.
const maxWork = 1 << 16

// check returns why the server can't be drained now.
func (m Move) check(name string, f Fleet) Risk {
	left := m.capacity(name, f)
	if left == 0 {
		return RiskLayers
	}
	if float64(left) < headroom*float64(m.work(f)) {
		return RiskCapacity
	}
	return RiskNone
}

// capacity returns the requests that can run at a time without the named server: the slots
// over the layer that has the fewest, or of a plain service in all.
func (m Move) capacity(without string, f Fleet) int {
	if m.Model == "" {
		total := 0
		for _, s := range f.Servers {
			if m.runs(s) && !s.isDrained() && s.Name != without {
				total += s.Slots
			}
		}
		return total
	}
	slots := make([]int, m.Layers)
	for _, s := range f.Servers {
		if !m.runs(s) || s.isDrained() || s.Name == without {
			continue
		}
		for i := max(0, s.Layers.From); i < min(m.Layers, s.Layers.To); i++ {
			slots[i] += s.Slots
		}
	}
	return slices.Min(slots)
}

// work returns the requests that run at a time: those of all servers of a plain service, or of
// the layer that has the most.
func (m Move) work(f Fleet) int {
	if m.Model == "" {
		total := 0
		for _, s := range f.Servers {
			if m.runs(s) {
				total += s.Load.Running + s.Load.Queued
			}
		}
		return total
	}
	work := make([]int, m.Layers)
	for _, s := range f.Servers {
		for i := max(0, s.Layers.From); m.runs(s) && i < min(m.Layers, s.Layers.To); i++ {
			work[i] += s.Load.Running + s.Load.Queued
		}
	}
	return slices.Max(work)
}

// isDue reports whether one more server should be drained by now: the drains are spread over
// the time from start to date, less a reserve for the last one.
func (m Move) isDue(now time.Time, p Progress) bool {
	if p.Total == 0 || now.Before(m.Start) {
		return false
	}
	span := time.Duration(float64(m.Date.Sub(m.Start)) * (1 - drainReserve))
	if span <= 0 {
		return true
	}
	part := float64(now.Sub(m.Start)) / float64(span)
	return float64(p.Drained) < math.Floor(part*float64(p.Total))+1
}

// forecast extends the pace of the drains so far.
func (m Move) forecast(now time.Time, p Progress, own []Server, f Fleet) time.Time {
	if p.IsDone() {
		return now
	}
	if now.Before(m.Start) {
		return m.Date
	}
	first := time.Time{}
	note := func(at time.Time) {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	for _, s := range own {
		note(s.DrainedAt)
	}
	for _, name := range m.Servers {
		note(f.Gone[name])
	}
	if first.IsZero() || p.Done == 0 || !now.After(first) {
		return time.Time{}
	}
	each := now.Sub(first) / time.Duration(p.Done)
	return now.Add(each * time.Duration(p.Total-p.Done))
}

func (m Move) risk(now time.Time, p Progress, blocked Risk) Risk {
	switch {
	case p.IsDone():
		return RiskNone
	case !now.Before(m.Date):
		return RiskOverdue
	case blocked != RiskNone:
		return blocked
	case p.Forecast.After(m.Date):
		return RiskLate
	default:
		return RiskNone
	}
}

// Package drain plans how backend servers are retired by a date without losing capacity.
//
// A move drains its servers one at a time, spread over the period up to its date. A server is
// drained only if the remaining servers can still run every layer of the service and carry the
// present work.
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
	// Model is the service's model and Layers its number of layers; a plain service has no layers.
	Model  string
	Layers int
	// DataCentre names the data centre whose servers are retired; "" retires those in Servers.
	DataCentre string
	Servers    []string
	// Start is when the first server is drained, Date is when the last one must be idle.
	Start time.Time
	Date  time.Time
}

// Server is a backend server and its state in a drain.
type Server struct {
	fleet.BackendServer
	// DrainedAt is when the drain of the server began, zero if the server accepts new work.
	DrainedAt time.Time
	// InFlight is the number of requests that the server still runs or queues.
	InFlight int
}

func (s Server) isDrained() bool { return !s.DrainedAt.IsZero() || s.Leaving }

func (s Server) isIdle() bool { return s.isDrained() && s.InFlight == 0 }

// Fleet is the state of the servers on which Evaluate bases its decisions.
type Fleet struct {
	// Servers are the servers with a lease.
	Servers []Server
	// Departed holds the drained servers without a lease, by name.
	Departed map[string]Departure
}

// Departure describes the drain of a server that no longer has a lease.
type Departure struct {
	// DrainedAt is when the drain began.
	DrainedAt time.Time
	// Move is the name of the move that drained the server, "" if it was an operator.
	Move string
}

const (
	// headroom is the factor by which the capacity of the remaining servers must exceed the
	// present work.
	headroom = 1.25
	// drainReserve is the share of the time from start to date that is reserved for the last drain.
	drainReserve = 0.1
)

// Risk is the reason why a date may be missed.
type Risk string

// The risks of a move.
const (
	RiskNone Risk = ""
	// RiskCapacity means that the remaining servers can't carry the work.
	RiskCapacity Risk = "the servers that stay can't carry the work"
	// RiskLayers means that the remaining servers don't hold all layers.
	RiskLayers Risk = "the servers that stay don't cover all layers"
	// RiskLate means that the forecast is later than the date.
	RiskLate Risk = "the forecast lies behind the date"
	// RiskOverdue means that the date has passed.
	RiskOverdue Risk = "the date has passed"
)

// Progress is the state of one move.
type Progress struct {
	Move Move
	// Total is the number of servers of the move. Drained counts the servers that accept no new
	// work, Done the servers that are idle or have departed.
	Total   int
	Drained int
	Done    int
	// Forecast is when the last server will be idle, zero if there is no estimate.
	Forecast time.Time
	Risk     Risk
	// Next is the server that may be drained now, or "".
	Next string
}

// IsDone reports whether all servers of the move are idle or have departed.
func (p Progress) IsDone() bool { return p.Done == p.Total }

// Evaluate returns the state of a move and the server that may be drained next.
func Evaluate(now time.Time, m Move, f Fleet) Progress {
	retiring := m.retiring(f)
	p := Progress{Move: m, Total: len(retiring)}
	departed := len(m.departed(f))
	p.Total += departed
	p.Drained += departed
	p.Done += departed
	for _, s := range retiring {
		if s.isDrained() {
			p.Drained++
		}
		if s.isIdle() {
			p.Done++
		}
	}
	blocked := RiskNone
	if p.Drained < p.Total {
		p.Next, blocked = m.nextServer(retiring, f)
	}
	p.Forecast = m.forecast(now, p, retiring, f)
	p.Risk = m.risk(now, p, blocked)
	if !m.isDue(now, p) {
		p.Next = ""
	}
	return p
}

// retiring returns the servers with a lease that the move retires, sorted by name.
func (m Move) retiring(f Fleet) []Server {
	var out []Server
	for _, s := range f.Servers {
		if m.runs(s) && m.selects(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// hasLayers reports whether the service is a draft service. The section of a plain service may name a
// model, too.
func (m Move) hasLayers() bool { return m.Model != "" && m.Layers > 0 }

func (m Move) runs(s Server) bool {
	if m.hasLayers() {
		return s.Model == m.Model
	}
	return s.Runs(m.Service)
}

// departed returns the servers of the move that no longer have a lease: those that it names, and those
// that it drained.
func (m Move) departed(f Fleet) []Departure {
	var out []Departure
	for name, d := range f.Departed {
		if slices.Contains(m.Servers, name) || d.Move == m.Name {
			out = append(out, d)
		}
	}
	return out
}

func (m Move) selects(s Server) bool {
	if m.DataCentre != "" {
		return s.DataCentre == m.DataCentre
	}
	return slices.Contains(m.Servers, s.Name)
}

// nextServer returns the server whose drain leaves the most capacity, or the risk that blocks all
// drains. Only one server of a move drains at a time; meanwhile nextServer returns neither.
func (m Move) nextServer(retiring []Server, f Fleet) (string, Risk) {
	for _, s := range retiring {
		if s.isDrained() && !s.isIdle() {
			return "", RiskNone
		}
	}
	blocked := RiskNone
	best := ""
	mostLeft := -1
	for _, s := range retiring {
		if s.isDrained() {
			continue
		}
		if r := m.blockedBy(s.Name, f); r != RiskNone {
			blocked = r
			continue
		}
		// The remaining capacity decides. Among servers that leave equal capacity, the server with
		// the least work is drained.
		if left := m.capacity(s.Name, f)*maxWork - min(s.InFlight, maxWork-1); left > mostLeft {
			mostLeft = left
			best = s.Name
		}
	}
	if best != "" {
		return best, RiskNone
	}
	return "", blocked
}

// maxWork scales capacity so that work only decides between servers that leave equal capacity.
const maxWork = 1 << 16

// blockedBy returns the reason why the server can't be drained now.
func (m Move) blockedBy(name string, f Fleet) Risk {
	left := m.capacity(name, f)
	if left == 0 && m.hasLayers() {
		return RiskLayers
	}
	if left == 0 || float64(left) < headroom*float64(m.work(f)) {
		return RiskCapacity
	}
	return RiskNone
}

// capacity returns how many requests can run at the same time without the excluded server: the
// slots of the layer that has the fewest, or all slots of a plain service.
func (m Move) capacity(excluded string, f Fleet) int {
	if !m.hasLayers() {
		total := 0
		for _, s := range f.Servers {
			if m.runs(s) && !s.isDrained() && s.Name != excluded {
				total += s.Slots
			}
		}
		return total
	}
	slots := make([]int, m.Layers)
	for _, s := range f.Servers {
		if !m.runs(s) || s.isDrained() || s.Name == excluded {
			continue
		}
		for i := max(0, s.Layers.From); i < min(m.Layers, s.Layers.To); i++ {
			slots[i] += s.Slots
		}
	}
	return slices.Min(slots)
}

// work returns the number of requests that are running or queued: the requests of the layer that
// has the most, or the requests of all servers of a plain service.
func (m Move) work(f Fleet) int {
	if !m.hasLayers() {
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

// isDue reports whether another server should have been drained by now. Drains are spread over the
// time from start to date, minus a reserve for the last one.
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

// forecast extrapolates the pace of the drains so far.
func (m Move) forecast(now time.Time, p Progress, retiring []Server, f Fleet) time.Time {
	if p.IsDone() {
		return now
	}
	if now.Before(m.Start) {
		return m.Date
	}
	first := time.Time{}
	keepEarliest := func(at time.Time) {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	for _, s := range retiring {
		keepEarliest(s.DrainedAt)
	}
	for _, d := range m.departed(f) {
		keepEarliest(d.DrainedAt)
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

// Package selfreport holds what backend servers have said about themselves in their answers, and
// decides whether a request may be sent to a server.
package selfreport

import (
	"slices"
	"strings"
	"time"
)

const (
	// forgetAfter is how long a report is kept after it was last heard. A server that leaves ends
	// within that time.
	forgetAfter = 10 * time.Minute
	// maxServers bounds the servers whose reports are kept; the oldest is dropped first.
	maxServers = 8192
)

// Server identifies one incarnation of a backend server.
type Server struct {
	ID          string
	Incarnation int64
}

// Source says where a server has reported about itself.
type Source struct {
	// Kind is the kind of the answer, as it stands in the log.
	Kind string
	// Request is the ID of the request that was answered; empty means none.
	Request string
}

// Verdict says whether a request may be sent to a server, and if not, why.
type Verdict uint8

// The verdicts.
const (
	Free Verdict = iota
	// Leaving servers get no new work.
	Leaving
	// WantsNothing is the verdict on servers that have asked for a pause.
	WantsNothing
	// Limited servers take no request from this instance now, but may take work of others' requests.
	Limited
	// Verdicts is the number of verdicts.
	Verdicts = int(iota)
)

// String returns the verdict as it stands in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Leaving:
		return "leaving"
	case WantsNothing:
		return "wants nothing"
	case Limited:
		return "limited"
	default:
		return "free"
	}
}

// End is the end of a report: it no longer counts.
type End struct {
	Server Server
	Kind   Verdict
	Source Source
	// Age is the time since the report began to count.
	Age time.Duration
	Why string
}

// report is what one incarnation of a server has said.
type report struct {
	incarnation int64
	leaving     *leaving
	pause       *pause
	limit       *limit
	heardAt     time.Time
}

// leaving is the report of a server that it leaves.
type leaving struct {
	source Source
	since  time.Time
	// sequence is that of the newest announcement that was known when the server said so.
	sequence uint64
	// drainSequence is that of the newest announcement that the server is draining; 0 means none.
	drainSequence uint64
}

// Reports holds the reports of all servers. It is not safe for concurrent use.
type Reports struct {
	// servers holds the newest incarnation that has reported about itself, by the server's ID.
	servers map[string]*report
}

// New returns a Reports without any report.
func New() *Reports { return &Reports{servers: make(map[string]*report)} }

// Len returns the number of servers with reports.
func (r *Reports) Len() int { return len(r.servers) }

// Check returns whether a request may be sent to a server.
func (r *Reports) Check(now time.Time, s Server) Verdict {
	switch x := r.find(s); {
	case x == nil:
		return Free
	case x.leaving != nil:
		return Leaving
	case x.pause != nil && !x.pause.takes(now):
		return WantsNothing
	case x.limit != nil && !x.limit.takes(now):
		return Limited
	default:
		return Free
	}
}

// find returns the reports of exactly this incarnation, or nil.
func (r *Reports) find(s Server) *report {
	x := r.servers[s.ID]
	if x == nil || x.incarnation != s.Incarnation {
		return nil
	}
	return x
}

// heard returns the report of a server that has just said something, or nil if a later incarnation
// has reported already.
func (r *Reports) heard(now time.Time, s Server) *report {
	x := r.servers[s.ID]
	switch {
	case x != nil && x.incarnation > s.Incarnation:
		return nil
	case x == nil || x.incarnation < s.Incarnation:
		r.makeRoom()
		x = &report{incarnation: s.Incarnation}
		r.servers[s.ID] = x
	}
	x.heardAt = now
	return x
}

// makeRoom drops the oldest report if there are too many.
func (r *Reports) makeRoom() {
	if len(r.servers) < maxServers {
		return
	}
	oldest := ""
	for id, x := range r.servers {
		if oldest == "" || x.heardAt.Before(r.servers[oldest].heardAt) {
			oldest = id
		}
	}
	delete(r.servers, oldest)
}

// AddLeaving records that a server has said in an answer that it leaves. newest is its newest known
// announcement. AddLeaving returns whether the report is new.
func (r *Reports) AddLeaving(now time.Time, s Server, source Source, newest Announcement) bool {
	x := r.heard(now, s)
	if x == nil {
		return false
	}
	isNew := x.leaving == nil
	if isNew {
		x.leaving = &leaving{source: source, since: now}
	}
	if newest.Server == s {
		x.leaving.sequence = max(x.leaving.sequence, newest.Sequence)
		x.leaving.recordDrain(newest)
	}
	return isNew
}

// Leaving returns the servers that have said that they leave, sorted by ID.
func (r *Reports) Leaving() []Server {
	var out []Server
	for id, x := range r.servers {
		if x.leaving != nil {
			out = append(out, Server{id, x.incarnation})
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Announcement is what the control instances know of a server.
type Announcement struct {
	Server   Server
	Sequence uint64
	// IsReady and IsDraining are both false if the server is silent or has left.
	IsReady    bool
	IsDraining bool
}

func (l *leaving) recordDrain(a Announcement) {
	if a.IsDraining {
		l.drainSequence = max(l.drainSequence, a.Sequence)
	}
}

// Announced records the newest announcement of a server. It ends the reports of earlier incarnations.
// It also ends the report that the server leaves, if the server has taken it back: it has announced
// that it is draining and, with a higher sequence, that it is ready. A ready announcement without such
// an order may be older than the answer.
func (r *Reports) Announced(now time.Time, a Announcement) []End {
	x := r.servers[a.Server.ID]
	if x == nil || x.incarnation > a.Server.Incarnation {
		return nil
	}
	if x.incarnation < a.Server.Incarnation {
		delete(r.servers, a.Server.ID)
		return x.ends(now, a.Server.ID, "was restarted")
	}
	if x.leaving == nil {
		return nil
	}
	x.leaving.recordDrain(a)
	if !a.IsReady || x.leaving.drainSequence == 0 || a.Sequence <= max(x.leaving.drainSequence, x.leaving.sequence) {
		return nil
	}
	end := x.leaving.end(now, a.Server, "announced that it is ready again")
	x.leaving = nil
	r.removeEmpty(a.Server.ID)
	return []End{end}
}

// RemoveExpired removes the reports that are too old to be of use.
func (r *Reports) RemoveExpired(now time.Time) []End {
	var ends []End
	for id, x := range r.servers {
		if x.pause != nil && x.pause.isOver && now.Sub(x.pause.returnAt) >= rememberFor {
			x.pause = nil
		}
		if now.Sub(x.heardAt) >= forgetAfter {
			delete(r.servers, id)
			ends = append(ends, x.ends(now, id, "was heard long ago")...)
			continue
		}
		r.removeEmpty(id)
	}
	slices.SortFunc(ends, func(a, b End) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return ends
}

func (r *Reports) removeEmpty(id string) {
	if x := r.servers[id]; x != nil && x.leaving == nil && x.pause == nil && x.limit == nil {
		delete(r.servers, id)
	}
}

// ends returns the ends of all parts of a report.
func (x *report) ends(now time.Time, id, why string) []End {
	var ends []End
	if x.leaving != nil {
		ends = append(ends, x.leaving.end(now, Server{id, x.incarnation}, why))
	}
	if x.pause != nil && !x.pause.isOver {
		ends = append(ends, x.pause.end(now, Server{id, x.incarnation}, why))
	}
	if x.limit != nil {
		ends = append(ends, End{Server: Server{id, x.incarnation}, Kind: Limited, Source: x.limit.source, Age: now.Sub(x.limit.since), Why: why})
	}
	return ends
}

func (l *leaving) end(now time.Time, s Server, why string) End {
	return End{Server: s, Kind: Leaving, Source: l.source, Age: now.Sub(l.since), Why: why}
}

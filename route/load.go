package route

import (
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

const (
	// reportLag is the assumed age of a load report when it arrives.
	reportLag = 300 * time.Millisecond
	// maxRecentStarts bounds the request starts that are kept for one server. They are kept because a
	// report that arrives after a start may not count that request yet.
	maxRecentStarts = 64
	// pruneMargin is the number by which the stored servers may exceed twice the available ones
	// before any stored server is removed.
	pruneMargin = 256
)

// serverLoad holds what a router knows about the load of one server.
type serverLoad struct {
	// local is the number of this instance's running requests at the server.
	local int
	// recentStarts holds the times of the latest request starts, oldest first.
	recentStarts []time.Time

	incarnation uint64
	sequence    uint64
	load        fleet.Load
	// correction is a moving average of the reported number of requests minus the number that the
	// server would have if every router had sent it as many as this one.
	correction float64
}

func (r *Router) loadOf(server string) *serverLoad {
	l, ok := r.loads[server]
	if !ok {
		l = &serverLoad{}
		r.loads[server] = l
	}
	return l
}

// Started records that this instance has sent a request to the server.
func (r *Router) Started(now time.Time, server string) {
	l := r.loadOf(server)
	l.local++
	if len(l.recentStarts) == maxRecentStarts {
		l.recentStarts = l.recentStarts[1:]
	}
	l.recentStarts = append(l.recentStarts, now)
}

// Ended records that a request of this instance at the server has ended.
func (r *Router) Ended(server string) {
	l := r.loadOf(server)
	l.local = max(0, l.local-1)
}

// InFlight returns the number of this instance's running requests at the server.
func (r *Router) InFlight(server string) int {
	if l, ok := r.loads[server]; ok {
		return l.local
	}
	return 0
}

// estimateRequests estimates the number of requests at the server. The local requests are known
// at once, and the other routers are assumed to send as many; reports correct this estimate
// slowly. All routers see the same late reports, so a quick reaction would send all requests to
// one server and then to the next.
//
// A report counts the requests that are at the server at one moment, while a request visits the
// stages of its chain one after the other. The reported number is therefore multiplied by stages,
// the usual number of stages of a chain; stages is 1 for a plain call.
func (r *Router) estimateRequests(now time.Time, s *fleet.BackendServer, stages float64) float64 {
	l := r.loadOf(s.Name)
	// The load can change without a new sequence: if another instance granted the lease, its feed
	// sends new loads without a sequence.
	if l.incarnation != s.Incarnation || l.sequence != s.Sequence || l.load != s.Load {
		l.applyReport(now, s, stages, r.routers)
	}
	return max(float64(l.local), float64(r.routers*l.local)+l.correction)
}

// reportWeight is the weight of a new report in the moving average.
const reportWeight = 0.1

func (l *serverLoad) applyReport(now time.Time, s *fleet.BackendServer, stages float64, routers int) {
	local := max(0, l.local-l.startedSince(now.Add(-reportLag)))
	correction := stages*float64(s.Load.Running+s.Load.Queued) - float64(routers*local)
	if l.incarnation != s.Incarnation {
		l.correction = correction
	} else {
		l.correction += reportWeight * (correction - l.correction)
	}
	l.incarnation = s.Incarnation
	l.sequence = s.Sequence
	l.load = s.Load
}

func (l *serverLoad) startedSince(t time.Time) int {
	n := 0
	for i := len(l.recentStarts) - 1; i >= 0 && l.recentStarts[i].After(t); i-- {
		n++
	}
	return n
}

// pruneServers removes the state of idle servers that are no longer available, once the state of
// many servers is stored.
func (r *Router) pruneServers(servers []fleet.BackendServer) {
	if len(r.loads) <= 2*len(servers)+pruneMargin {
		return
	}
	known := make(map[string]bool, len(servers))
	for i := range servers {
		known[servers[i].Name] = true
	}
	for name, l := range r.loads {
		if !known[name] && l.local == 0 {
			delete(r.loads, name)
		}
	}
	r.stepSlowdowns.retain(known)
	r.callSlowdowns.retain(known)
	r.prefixes.retain(known)
}

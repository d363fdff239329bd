package route

import (
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

const (
	// reportLag is the age that a report of load is assumed to have when it arrives.
	reportLag = 300 * time.Millisecond
	// maxRecentStarts bounds the starts that are remembered for reports under way.
	maxRecentStarts = 64
	// forgetMargin is how many servers beyond those available are remembered.
	forgetMargin = 256
)

// account is what a router knows of the work at one server.
type account struct {
	// own is the work that this instance has given the server.
	own int
	// recent are the times of the latest starts, oldest first.
	recent []time.Time

	incarnation uint64
	sequence    uint64
	// others is a moving average of the reported work that this instance has not given. One
	// report is a sample of a queue that changes with every step.
	others float64
}

func (r *Router) account(server string) *account {
	a, ok := r.accounts[server]
	if !ok {
		a = &account{}
		r.accounts[server] = a
	}
	return a
}

// Started notes that this instance has given the server work.
func (r *Router) Started(now time.Time, server string) {
	a := r.account(server)
	a.own++
	if len(a.recent) == maxRecentStarts {
		a.recent = a.recent[1:]
	}
	a.recent = append(a.recent, now)
}

// Ended notes that the work has ended.
func (r *Router) Ended(server string) {
	a := r.account(server)
	a.own = max(0, a.own-1)
}

// InFlight returns the work that this instance has given the server.
func (r *Router) InFlight(server string) int {
	if a, ok := r.accounts[server]; ok {
		return a.own
	}
	return 0
}

// work estimates the requests at the server: those reported, and the change of this
// instance's own since the report was made.
func (r *Router) work(now time.Time, s *fleet.BackendServer) int {
	a := r.account(s.Name)
	if a.incarnation != s.Incarnation || a.sequence != s.Sequence {
		a.report(now, s)
	}
	return a.own + int(a.others+0.5)
}

// reportWeight is the weight of a new report in the moving average.
const reportWeight = 0.3

func (a *account) report(now time.Time, s *fleet.BackendServer) {
	own := max(0, a.own-a.startedSince(now.Add(-reportLag)))
	others := float64(max(0, s.Load.Running+s.Load.Queued-own))
	if a.incarnation != s.Incarnation {
		a.others = others
	} else {
		a.others += reportWeight * (others - a.others)
	}
	a.incarnation = s.Incarnation
	a.sequence = s.Sequence
}

func (a *account) startedSince(t time.Time) int {
	n := 0
	for i := len(a.recent) - 1; i >= 0 && a.recent[i].After(t); i-- {
		n++
	}
	return n
}

// forget drops idle servers that are no longer available, once there are many.
func (r *Router) forget(servers []fleet.BackendServer) {
	if len(r.accounts) <= 2*len(servers)+forgetMargin {
		return
	}
	known := make(map[string]bool, len(servers))
	for i := range servers {
		known[servers[i].Name] = true
	}
	for name, a := range r.accounts {
		if !known[name] && a.own == 0 {
			delete(r.accounts, name)
		}
	}
	r.paces.retain(known)
	r.callPaces.retain(known)
	r.prefixes.retain(known)
}

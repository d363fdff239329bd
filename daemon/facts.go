package daemon

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
)

// facts carries notices and usage between the decision packages and the other instances.
// Handlers are called without a lock held.
type facts struct {
	dataCentre string
	// published wakes the duty that sends notices at once. It holds one signal, since one
	// pass sends all that wait.
	published chan struct{}

	mu       sync.Mutex
	notices  *membership.Notices
	handlers []membership.NoticeHandler
	usage    membership.UsageExchange // nil when nothing reports usage
}

func newFacts(self, dataCentre string, incarnation uint64) *facts {
	return &facts{
		dataCentre: dataCentre,
		published:  make(chan struct{}, 1),
		notices:    membership.NewNotices(self, incarnation),
	}
}

// handleNotices adds a handler; it is called before the duties start.
func (f *facts) handleNotices(h membership.NoticeHandler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handlers = append(f.handlers, h)
}

// exchangeUsage sets what supplies and receives usage; it is called before the duties start.
func (f *facts) exchangeUsage(u membership.UsageExchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usage = u
}

// Publish tells all instances of the data centre. The caller acts on its own notice itself.
func (f *facts) Publish(n membership.Notice) {
	f.mu.Lock()
	f.notices.Publish(time.Now(), n)
	f.mu.Unlock()
	select {
	case f.published <- struct{}{}:
	default:
	}
}

// outgoing returns the notices that have not expired.
func (f *facts) outgoing(now time.Time) []*wire.Notice {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*wire.Notice
	for _, n := range f.notices.All(now) {
		out = append(out, noticeToWire(n, now))
	}
	return out
}

// received takes the notices of an instance and passes on what is new.
func (f *facts) received(now time.Time, notices []*wire.Notice) {
	f.mu.Lock()
	var fresh []membership.Notice
	for _, w := range notices {
		n := noticeFromWire(w, now)
		if f.notices.Receive(now, n) {
			fresh = append(fresh, n)
		}
	}
	handlers := f.handlers
	f.mu.Unlock()
	for _, n := range fresh {
		for _, h := range handlers {
			h.HandleNotice(now, n)
		}
	}
}

// outgoingUsage returns this instance's usage, or nil when nothing reports it.
func (f *facts) outgoingUsage(now time.Time, limit int) *wire.Usage {
	f.mu.Lock()
	u := f.usage
	f.mu.Unlock()
	if u == nil {
		return nil
	}
	out := &wire.Usage{}
	for _, w := range u.LocalUsage(now, min(limit, membership.MaxUsage)) {
		out.Workspaces = append(out.Workspaces, &wire.WorkspaceUsage{Workspace: w.Workspace, Demand: w.Demand, InFlight: w.InFlight})
	}
	return out
}

// receivedUsage takes the usage of an instance; a nil report says nothing.
func (f *facts) receivedUsage(now time.Time, peer string, report *wire.Usage) {
	f.mu.Lock()
	u := f.usage
	f.mu.Unlock()
	if u == nil || report == nil {
		return
	}
	var usage []membership.WorkspaceUsage
	for _, w := range report.Workspaces[:min(len(report.Workspaces), membership.MaxUsage)] {
		usage = append(usage, membership.WorkspaceUsage{Workspace: w.Workspace, Demand: w.Demand, InFlight: w.InFlight})
	}
	u.HandleUsage(now, peer, usage)
}

func noticeToWire(n membership.Notice, now time.Time) *wire.Notice {
	return &wire.Notice{
		Origin:      n.ID.Origin,
		Incarnation: n.ID.Incarnation,
		Sequence:    n.ID.Sequence,
		Kind:        uint32(n.Kind),
		Fingerprint: n.Fingerprint,
		Servers:     n.Servers,
		Count:       n.Count,
		RemainingMs: uint64(max(0, n.Expires.Sub(now).Milliseconds())),
	}
}

// maxNoticeLife bounds how long a notice of another instance is held.
const maxNoticeLife = 24 * time.Hour

func noticeFromWire(w *wire.Notice, now time.Time) membership.Notice {
	remaining := min(w.RemainingMs, uint64(maxNoticeLife.Milliseconds()))
	return membership.Notice{
		ID:          membership.NoticeID{Origin: w.Origin, Incarnation: w.Incarnation, Sequence: w.Sequence},
		Kind:        membership.NoticeKind(w.Kind),
		Fingerprint: w.Fingerprint,
		Servers:     w.Servers[:min(len(w.Servers), membership.MaxNoticeServers)],
		Count:       w.Count,
		Expires:     now.Add(time.Duration(remaining) * time.Millisecond),
	}
}

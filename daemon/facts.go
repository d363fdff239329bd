package daemon

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
)

// facts carries notices and usage between the decision packages and the other instances of
// the data centre. Handlers are called without a lock held.
type facts struct {
	// onPublish is called after a notice was published.
	onPublish func()
	report    usageReport

	mu       sync.Mutex
	notices  *membership.Notices
	handlers []membership.NoticeHandler
	usage    membership.UsageExchange // nil when nothing reports usage
	// digests holds the digest of the notices that each peer holds.
	digests map[string]uint64
}

func newFacts(self string, incarnation uint64, onPublish func()) *facts {
	return &facts{
		onPublish: onPublish,
		notices:   membership.NewNotices(self, incarnation),
		digests:   make(map[string]uint64),
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
	f.onPublish()
}

// received takes the notices that came in a beat, and the digest of those that the peer
// holds. It passes on what is new.
func (f *facts) received(sent, now time.Time, peer string, notices []*wire.Notice, digest uint64) {
	f.mu.Lock()
	if digest != 0 {
		f.digests[peer] = digest
	}
	var fresh []membership.Notice
	for _, w := range notices {
		n := noticeFromWire(w, sent)
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

// ended takes that nothing more comes from a peer until it is heard anew.
func (f *facts) ended(now time.Time, peer string) {
	f.mu.Lock()
	delete(f.digests, peer)
	u := f.usage
	f.mu.Unlock()
	if u != nil {
		u.HandleUsage(now, peer, nil)
	}
}

// localUsage returns this instance's usage, or nil when nothing reports it.
func (f *facts) localUsage(now time.Time, limit int) *wire.Usage {
	f.mu.Lock()
	u := f.usage
	f.mu.Unlock()
	if u == nil {
		return nil
	}
	out := &wire.Usage{}
	for _, w := range u.LocalUsage(now, min(limit, membership.MaxUsage)) {
		out.Workspaces = append(out.Workspaces, &wire.WorkspaceUsage{Workspace: w.Workspace, Pool: w.Pool, Demand: w.Demand, InFlight: w.InFlight})
	}
	return out
}

// receivedUsage takes the usage of a peer; a nil report says nothing.
func (f *facts) receivedUsage(now time.Time, peer string, report *wire.Usage) {
	f.mu.Lock()
	u := f.usage
	f.mu.Unlock()
	if u == nil || report == nil {
		return
	}
	var usage []membership.WorkspaceUsage
	for _, w := range report.Workspaces[:min(len(report.Workspaces), membership.MaxUsage)] {
		usage = append(usage, membership.WorkspaceUsage{Workspace: w.Workspace, Pool: w.Pool, Demand: w.Demand, InFlight: w.InFlight})
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

// noticeFromWire returns a notice that was sent at the time given or later.
func noticeFromWire(w *wire.Notice, sent time.Time) membership.Notice {
	remaining := min(w.RemainingMs, uint64(maxNoticeLife.Milliseconds()))
	return membership.Notice{
		ID:          membership.NoticeID{Origin: w.Origin, Incarnation: w.Incarnation, Sequence: w.Sequence},
		Kind:        membership.NoticeKind(w.Kind),
		Fingerprint: w.Fingerprint,
		Servers:     w.Servers[:min(len(w.Servers), membership.MaxNoticeServers)],
		Count:       w.Count,
		Expires:     sent.Add(time.Duration(remaining) * time.Millisecond),
	}
}

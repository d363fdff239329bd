package daemon

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
)

// gossip exchanges notices and usage with the other instances of the data centre, on behalf of the
// packages that publish and handle them. Handlers are called without a lock held.
type gossip struct {
	// onPublish is called after each call of Publish.
	onPublish func()
	report    usageReport

	mu       sync.Mutex
	notices  *membership.Notices
	handlers []membership.NoticeHandler
	usage    membership.UsageExchange // nil if usage is not exchanged
	// peerDigests maps each peer to the digest of the notices that the peer holds.
	peerDigests map[string]uint64
}

func newGossip(self string, incarnation uint64, onPublish func()) *gossip {
	return &gossip{
		onPublish:   onPublish,
		notices:     membership.NewNotices(self, incarnation),
		peerDigests: make(map[string]uint64),
	}
}

// handleNotices adds a handler. It must be called before the background tasks start.
func (g *gossip) handleNotices(h membership.NoticeHandler) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handlers = append(g.handlers, h)
}

// exchangeUsage sets the supplier and receiver of usage. It must be called before the background
// tasks start.
func (g *gossip) exchangeUsage(u membership.UsageExchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usage = u
}

// Publish sends a notice to all instances of the data centre. The handlers of this instance are not
// called; the publisher acts on its notice itself.
func (g *gossip) Publish(n membership.Notice) {
	g.mu.Lock()
	g.notices.Publish(time.Now(), n)
	g.mu.Unlock()
	g.onPublish()
}

// receiveNotices handles the notices of a peer's heartbeat and the digest of the notices that the
// peer holds, 0 if unchanged. It passes new notices to the handlers.
func (g *gossip) receiveNotices(sent, now time.Time, peer string, notices []*wire.Notice, digest uint64) {
	g.mu.Lock()
	if digest != 0 {
		g.peerDigests[peer] = digest
	}
	var fresh []membership.Notice
	for _, w := range notices {
		n := noticeFromWire(w, sent)
		if g.notices.Receive(now, n) {
			fresh = append(fresh, n)
		}
	}
	handlers := g.handlers
	g.mu.Unlock()
	for _, n := range fresh {
		for _, h := range handlers {
			h.HandleNotice(now, n)
		}
	}
}

// peerDisconnected discards the digest and the usage of a peer whose subscription has ended.
func (g *gossip) peerDisconnected(now time.Time, peer string) {
	g.mu.Lock()
	delete(g.peerDigests, peer)
	u := g.usage
	g.mu.Unlock()
	if u != nil {
		u.HandleUsage(now, peer, nil)
	}
}

// localUsage returns the usage of this instance, or nil if usage is not exchanged.
func (g *gossip) localUsage(now time.Time, limit int) *wire.Usage {
	g.mu.Lock()
	u := g.usage
	g.mu.Unlock()
	if u == nil {
		return nil
	}
	out := &wire.Usage{}
	for _, w := range u.LocalUsage(now, min(limit, membership.MaxUsage)) {
		out.Workspaces = append(out.Workspaces, &wire.WorkspaceUsage{Workspace: w.Workspace, Pool: w.Pool, Demand: w.Demand, InFlight: w.InFlight})
	}
	return out
}

// receiveUsage handles the usage of a peer. A nil report means that it has not changed.
func (g *gossip) receiveUsage(now time.Time, peer string, report *wire.Usage) {
	g.mu.Lock()
	u := g.usage
	g.mu.Unlock()
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
	var presumed []*wire.PresumedCrash
	for _, c := range n.Presumed {
		age := uint64(max(0, now.Sub(c.At).Milliseconds()))
		presumed = append(presumed, &wire.PresumedCrash{Server: c.Server, Incarnation: c.Incarnation, AgeMs: age})
	}
	return &wire.Notice{
		Origin:      n.ID.Origin,
		Incarnation: n.ID.Incarnation,
		Sequence:    n.ID.Sequence,
		Kind:        uint32(n.Kind),
		Fingerprint: n.Fingerprint,
		Servers:     n.Servers,
		Count:       n.Count,
		Presumed:    presumed,
		RemainingMs: uint64(max(0, n.Expires.Sub(now).Milliseconds())),
	}
}

// maxNoticeTTL bounds the remaining lifetime of a notice from another instance.
const maxNoticeTTL = 24 * time.Hour

// noticeFromWire decodes a notice that was sent at the given time or later.
func noticeFromWire(w *wire.Notice, sent time.Time) membership.Notice {
	var presumed []membership.PresumedCrash
	for _, c := range w.Presumed[:min(len(w.Presumed), membership.MaxNoticeServers)] {
		age := time.Duration(min(c.AgeMs, uint64(maxNoticeTTL.Milliseconds()))) * time.Millisecond
		presumed = append(presumed, membership.PresumedCrash{Server: c.Server, Incarnation: c.Incarnation, At: sent.Add(-age)})
	}
	remaining := min(w.RemainingMs, uint64(maxNoticeTTL.Milliseconds()))
	return membership.Notice{
		ID:          membership.NoticeID{Origin: w.Origin, Incarnation: w.Incarnation, Sequence: w.Sequence},
		Kind:        membership.NoticeKind(w.Kind),
		Fingerprint: w.Fingerprint,
		Servers:     w.Servers[:min(len(w.Servers), membership.MaxNoticeServers)],
		Count:       w.Count,
		Presumed:    presumed,
		Expires:     sent.Add(time.Duration(remaining) * time.Millisecond),
	}
}

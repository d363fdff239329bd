package daemon

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/matryer/is"
)

type fakeHandler struct {
	notices []membership.Notice
	usage   map[string][]membership.WorkspaceUsage
}

func (h *fakeHandler) HandleNotice(_ time.Time, n membership.Notice) {
	h.notices = append(h.notices, n)
}

func (h *fakeHandler) LocalUsage(time.Time, int) []membership.WorkspaceUsage {
	return []membership.WorkspaceUsage{{Workspace: "kandy", Pool: "draft", Demand: 5, InFlight: 3}}
}

func (h *fakeHandler) HandleUsage(_ time.Time, peer string, u []membership.WorkspaceUsage) {
	h.usage[peer] = u
}

// gossipLink carries the heartbeats from one instance to another.
type gossipLink struct {
	feed     gossipFeed
	from, to *gossip
	name     string // of from
	peer     string // of to
}

// sendHeartbeat delivers one heartbeat and returns the number of notices in it.
func (l *gossipLink) sendHeartbeat(now time.Time) int {
	b := &wire.Beat{}
	l.feed.add(now, l.from, l.peer, b)
	l.to.receiveNotices(now, now, l.name, b.Notices, b.NoticesDigest)
	l.to.receiveUsage(now, l.name, b.Usage)
	return len(b.Notices)
}

func newLinks(a, b *gossip) (*gossipLink, *gossipLink) {
	return &gossipLink{from: a, to: b, name: "a", peer: "b"}, &gossipLink{from: b, to: a, name: "b", peer: "a"}
}

func TestNoticesAreDeliveredOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	published := 0
	a := newGossip("a", 1, func() { published++ })
	b := newGossip("b", 1, func() {})
	ra, rb := &fakeHandler{}, &fakeHandler{}
	a.handleNotices(ra)
	b.handleNotices(rb)
	ab, ba := newLinks(a, b)
	a.Publish(membership.Notice{Kind: membership.NoticeCrash, Fingerprint: 7, Servers: []string{"s1"}, Count: 2, Expires: now.Add(time.Minute)})
	is.Equal(published, 1)
	is.Equal(ab.sendHeartbeat(now), 1)
	for n := range 20 {
		later := now.Add(time.Duration(n) * time.Second)
		is.Equal(ba.sendHeartbeat(later), 0) // both hold the same notices, so no repair is due
		is.Equal(ab.sendHeartbeat(later), 0)
	}
	is.Equal(len(ra.notices), 0)
	is.Equal(len(rb.notices), 1)
	is.Equal(rb.notices[0].Fingerprint, uint64(7))
	is.Equal(rb.notices[0].Count, uint32(2))
}

func TestMissedNoticeIsRepaired(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := newGossip("a", 1, func() {})
	b := newGossip("b", 1, func() {})
	c := newGossip("c", 1, func() {})
	r := &fakeHandler{}
	c.handleNotices(r)
	a.Publish(membership.Notice{Kind: membership.NoticeRelease, Fingerprint: 9, Expires: now.Add(time.Minute)})
	ab, _ := newLinks(a, b)
	ab.sendHeartbeat(now)
	// c receives heartbeats from b but not from a.
	bc, cb := newLinks(b, c)
	for n := range 8 {
		later := now.Add(time.Duration(n) * time.Second)
		bc.sendHeartbeat(later)
		cb.sendHeartbeat(later)
	}
	is.Equal(len(r.notices), 1)
	is.Equal(r.notices[0].Fingerprint, uint64(9))
	// A heartbeat that a sends later carries the notice again, which c already has.
	ac, _ := newLinks(a, c)
	is.Equal(ac.sendHeartbeat(now), 1)
	is.Equal(len(r.notices), 1)
}

func TestForwardingDoesNotExtendANotice(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := newGossip("a", 1, func() {})
	b := newGossip("b", 1, func() {})
	a.Publish(membership.Notice{Kind: membership.NoticeCrash, Expires: now.Add(time.Second)})
	ab, ba := newLinks(a, b)
	ab.sendHeartbeat(now)
	later := now.Add(900 * time.Millisecond)
	ba.sendHeartbeat(later)
	ab.sendHeartbeat(later)
	is.Equal(len(b.notices.All(now.Add(1100*time.Millisecond))), 0)
}

func TestUsageReachesThePeer(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := newGossip("a", 1, func() {})
	b := newGossip("b", 1, func() {})
	ab, _ := newLinks(a, b)
	ab.sendHeartbeat(now)
	r := &fakeHandler{usage: map[string][]membership.WorkspaceUsage{}}
	a.exchangeUsage(r)
	b.exchangeUsage(r)
	ab.sendHeartbeat(now)
	is.Equal(r.usage["a"], []membership.WorkspaceUsage{{Workspace: "kandy", Pool: "draft", Demand: 5, InFlight: 3}})
	// The usage has not changed, so no report is sent and the last one stays in effect.
	ab.sendHeartbeat(now.Add(time.Second))
	is.Equal(len(r.usage["a"]), 1)
	b.peerDisconnected(now, "a")
	is.Equal(len(r.usage["a"]), 0)
}

// Guards against a presumed crash that other instances can't take back: its incarnation and age get lost
// on the way.
func TestNoticeCarriesPresumedCrashes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := membership.PresumedCrash{Server: "s1", Incarnation: 3, At: now.Add(-2 * time.Second)}
	n := membership.Notice{
		Kind: membership.NoticeCrash, Servers: []string{"s0", "s1"}, Presumed: []membership.PresumedCrash{c}, Expires: now.Add(time.Minute),
	}
	later := now.Add(time.Hour) // the clock of another instance
	out := noticeFromWire(noticeToWire(n, now), later)
	is.Equal(len(out.Presumed), 1)
	is.Equal(out.Presumed[0].Server, c.Server)
	is.Equal(out.Presumed[0].Incarnation, c.Incarnation)
	is.Equal(out.Presumed[0].At, later.Add(-2*time.Second))
}

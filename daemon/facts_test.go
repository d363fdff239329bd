package daemon

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/matryer/is"
)

type recorder struct {
	notices []membership.Notice
	usage   map[string][]membership.WorkspaceUsage
}

func (r *recorder) HandleNotice(_ time.Time, n membership.Notice) {
	r.notices = append(r.notices, n)
}

func (r *recorder) LocalUsage(time.Time, int) []membership.WorkspaceUsage {
	return []membership.WorkspaceUsage{{Workspace: "kandy", Demand: 5, InFlight: 3}}
}

func (r *recorder) HandleUsage(_ time.Time, peer string, u []membership.WorkspaceUsage) {
	r.usage[peer] = u
}

func TestNoticesArePassedOnOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := newFacts("kandy-1", "kandy", 1)
	b := newFacts("kandy-2", "kandy", 1)
	r := &recorder{}
	b.handleNotices(r)
	a.Publish(membership.Notice{Kind: membership.NoticeCrash, Fingerprint: 7, Servers: []string{"s1"}, Count: 2, Expires: now.Add(time.Minute)})
	for range 3 {
		b.received(now, a.outgoing(now))
	}
	is.Equal(len(r.notices), 1)
	is.Equal(r.notices[0].Fingerprint, uint64(7))
	is.Equal(r.notices[0].Count, uint32(2))
	// An echo of its own notice is not new to the origin.
	a.handleNotices(r)
	a.received(now, b.outgoing(now))
	is.Equal(len(r.notices), 1)
}

func TestPassingANoticeOnDoesNotProlongIt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := newFacts("kandy-1", "kandy", 1)
	b := newFacts("kandy-2", "kandy", 1)
	a.Publish(membership.Notice{Kind: membership.NoticeCrash, Expires: now.Add(time.Second)})
	b.received(now, a.outgoing(now))
	later := now.Add(900 * time.Millisecond)
	a.received(later, b.outgoing(later))
	b.received(later, a.outgoing(later))
	is.Equal(len(b.outgoing(now.Add(1100*time.Millisecond))), 0)
}

func TestUsageReachesThePeer(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := newFacts("kandy-1", "kandy", 1)
	b := newFacts("kandy-2", "kandy", 1)
	is.Equal(a.outgoingUsage(now, 8), (*wire.Usage)(nil))
	r := &recorder{usage: map[string][]membership.WorkspaceUsage{}}
	a.exchangeUsage(r)
	b.exchangeUsage(r)
	b.receivedUsage(now, "kandy-1", a.outgoingUsage(now, 8))
	is.Equal(r.usage["kandy-1"], []membership.WorkspaceUsage{{Workspace: "kandy", Demand: 5, InFlight: 3}})
	b.receivedUsage(now, "kandy-1", nil)
	is.Equal(len(r.usage["kandy-1"]), 1)
}

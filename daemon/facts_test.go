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
	return []membership.WorkspaceUsage{{Workspace: "kandy", Pool: "draft", Demand: 5, InFlight: 3}}
}

func (r *recorder) HandleUsage(_ time.Time, peer string, u []membership.WorkspaceUsage) {
	r.usage[peer] = u
}

// factsLink carries the beats from one instance to another.
type factsLink struct {
	feed     factsFeed
	from, to *facts
	name     string // of from
	peer     string // of to
}

// beat sends one beat and returns the number of notices in it.
func (l *factsLink) beat(now time.Time) int {
	b := &wire.Beat{}
	l.feed.add(now, l.from, l.peer, b)
	l.to.received(now, now, l.name, b.Notices, b.NoticesDigest)
	l.to.receivedUsage(now, l.name, b.Usage)
	return len(b.Notices)
}

func linkBoth(a, b *facts) (*factsLink, *factsLink) {
	return &factsLink{from: a, to: b, name: "a", peer: "b"}, &factsLink{from: b, to: a, name: "b", peer: "a"}
}

func TestNoticesArePassedOnOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	rung := 0
	a := newFacts("a", 1, func() { rung++ })
	b := newFacts("b", 1, func() {})
	ra, rb := &recorder{}, &recorder{}
	a.handleNotices(ra)
	b.handleNotices(rb)
	ab, ba := linkBoth(a, b)
	a.Publish(membership.Notice{Kind: membership.NoticeCrash, Fingerprint: 7, Servers: []string{"s1"}, Count: 2, Expires: now.Add(time.Minute)})
	is.Equal(rung, 1)
	is.Equal(ab.beat(now), 1)
	for n := range 20 {
		later := now.Add(time.Duration(n) * time.Second)
		is.Equal(ba.beat(later), 0) // both hold the same, so nothing is repaired
		is.Equal(ab.beat(later), 0)
	}
	is.Equal(len(ra.notices), 0)
	is.Equal(len(rb.notices), 1)
	is.Equal(rb.notices[0].Fingerprint, uint64(7))
	is.Equal(rb.notices[0].Count, uint32(2))
}

func TestANoticeThatAPeerMissedIsRepaired(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := newFacts("a", 1, func() {})
	b := newFacts("b", 1, func() {})
	c := newFacts("c", 1, func() {})
	r := &recorder{}
	c.handleNotices(r)
	a.Publish(membership.Notice{Kind: membership.NoticeRelease, Fingerprint: 9, Expires: now.Add(time.Minute)})
	ab, _ := linkBoth(a, b)
	ab.beat(now)
	// c never hears a, but b.
	bc, cb := linkBoth(b, c)
	for n := range 8 {
		later := now.Add(time.Duration(n) * time.Second)
		bc.beat(later)
		cb.beat(later)
	}
	is.Equal(len(r.notices), 1)
	is.Equal(r.notices[0].Fingerprint, uint64(9))
	// When a reaches c at last, it tells nothing new.
	ac, _ := linkBoth(a, c)
	is.Equal(ac.beat(now), 1)
	is.Equal(len(r.notices), 1)
}

func TestPassingANoticeOnDoesNotProlongIt(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := newFacts("a", 1, func() {})
	b := newFacts("b", 1, func() {})
	a.Publish(membership.Notice{Kind: membership.NoticeCrash, Expires: now.Add(time.Second)})
	ab, ba := linkBoth(a, b)
	ab.beat(now)
	later := now.Add(900 * time.Millisecond)
	ba.beat(later)
	ab.beat(later)
	is.Equal(len(b.notices.All(now.Add(1100*time.Millisecond))), 0)
}

func TestUsageReachesThePeer(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := newFacts("a", 1, func() {})
	b := newFacts("b", 1, func() {})
	ab, _ := linkBoth(a, b)
	ab.beat(now)
	r := &recorder{usage: map[string][]membership.WorkspaceUsage{}}
	a.exchangeUsage(r)
	b.exchangeUsage(r)
	ab.beat(now)
	is.Equal(r.usage["a"], []membership.WorkspaceUsage{{Workspace: "kandy", Pool: "draft", Demand: 5, InFlight: 3}})
	// Nothing has changed, so nothing is said and the report stands.
	ab.beat(now.Add(time.Second))
	is.Equal(len(r.usage["a"]), 1)
	b.ended(now, "a")
	is.Equal(len(r.usage["a"]), 0)
}

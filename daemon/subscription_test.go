package daemon

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// testUptime is how long the instances in these tests have been running.
const testUptime = time.Minute

func newTestState(name string) *instanceState {
	s := newInstanceState(settings.Process{Name: name, DataCentre: "kandy", Advertise: name}, 7, logr.Discard())
	s.clock.started = time.Now().Add(-testUptime)
	s.clock.lastTick.Store(s.clock.read(time.Now()))
	return s
}

// firstHeartbeat returns the first heartbeat that from sends to the subscription.
func firstHeartbeat(from *instanceState, r *subscription) *wire.Beat {
	b, _ := from.NewFeed(r.Request()).Next()
	return b
}

func announcement(name string, sequence uint64) backend.Announcement {
	return backend.Announcement{BackendServer: fleet.BackendServer{
		Name: name, Incarnation: 1, Sequence: sequence, Address: "127.0.2.100:9000", DataCentre: "kandy", Slots: 1,
	}}
}

func TestDelayedHeartbeatExtendsNoLease(t *testing.T) {
	is := is.New(t)
	a, b := newTestState("a"), newTestState("b")
	_, err := a.HandleAnnouncement(announcement("s", 1))
	is.NoErr(err)
	r := newSubscription(b, "a", func(string, uint64) {})
	heartbeat := firstHeartbeat(a, r)
	delayed := proto.Clone(heartbeat).(*wire.Beat)
	delayed.EchoMs -= 5000
	_, err = r.HandleHeartbeat(delayed)
	is.NoErr(err)
	is.Equal(len(b.Available()), 0)
	m, _ := b.table.Get("a")
	is.True(m.AliveUntil.Before(time.Now())) // nor does the delayed heartbeat make the peer alive
	_, err = r.HandleHeartbeat(heartbeat)
	is.NoErr(err)
	is.Equal(len(b.Available()), 1)
}

func TestLeaseIsCountedFromTheLastGrant(t *testing.T) {
	is := is.New(t)
	s := newTestState("a")
	reply, err := s.HandleAnnouncement(announcement("s", 1))
	is.NoErr(err)
	late := announcement("s", 2)
	late.Last = formatGrant(s.incarnation, uint64(s.clock.read(time.Now().Add(-10*time.Second))))
	late.LastAgeMillis = 800
	_, err = s.HandleAnnouncement(late)
	is.Equal(err, fleet.ErrStale)
	fresh := announcement("s", 3)
	fresh.Last = reply.Grant
	_, err = s.HandleAnnouncement(fresh)
	is.NoErr(err)
	// A grant of another incarnation is ignored.
	other := announcement("s", 4)
	other.Last = formatGrant(s.incarnation+1, 1)
	_, err = s.HandleAnnouncement(other)
	is.NoErr(err)
}

func TestResumedInstanceRejectsAnnouncementWithoutGrant(t *testing.T) {
	is := is.New(t)
	s := newTestState("a")
	s.clock.lastTick.Store(s.clock.read(time.Now().Add(-10 * time.Second)))
	_, err := s.HandleAnnouncement(announcement("s", 1))
	is.Equal(err, fleet.ErrStale)
	s.clock.tick(time.Now())
	_, err = s.HandleAnnouncement(announcement("s", 2))
	is.Equal(err, fleet.ErrStale) // a tick before the announcement is read changes nothing
	s.clock.lastPause.Store(s.clock.read(time.Now().Add(-2 * pauseRecovery)))
	_, err = s.HandleAnnouncement(announcement("s", 3))
	is.NoErr(err)
}

func viewOf(index, version uint64) replica.View {
	return replica.View{Index: index, Config: config.Document{Version: version, Base: "[service draft]\nkind = draft\nmodel = m\nlayers = 2\n"}}
}

func TestViewsNeverGoBack(t *testing.T) {
	is := is.New(t)
	s := newTestState("a")
	s.offerView(viewOf(9, 3))
	s.offerView(viewOf(8, 2))
	s.offerView(viewOf(9, 2))
	is.Equal(s.View().Config.Version, uint64(3))
}

func TestViewsAreFetchedAsPatches(t *testing.T) {
	is := is.New(t)
	a, b := newTestState("a"), newTestState("b")
	patches := 0
	for n := range uint64(20) {
		a.offerView(viewOf(n+1, n+1))
		if n%3 == 1 {
			continue // b misses some views
		}
		req := b.fetchRequest()
		resp, err := a.FetchView(req)
		is.NoErr(err)
		if resp.Patches {
			patches++
		}
		is.NoErr(b.applyFetchedView(req, resp))
		is.Equal(b.View().Index, n+1)
		is.Equal(b.View().Config, a.View().Config)
	}
	is.True(patches > 10)
	// A caller that holds different bytes under the same index gets the whole view.
	a.offerView(viewOf(21, 21))
	req := b.fetchRequest()
	req.HaveHash++
	resp, err := a.FetchView(req)
	is.NoErr(err)
	is.True(!resp.Patches)
	is.NoErr(b.applyFetchedView(req, resp))
	is.Equal(b.View().Index, uint64(21))
}

func TestNotReadyWhileTheViewMayBeOutdated(t *testing.T) {
	is := is.New(t)
	a, b := newTestState("a"), newTestState("b")
	is.True(b.notReady() != "")
	a.offerView(viewOf(9, 3))
	b.offerView(viewOf(8, 2))
	r := newSubscription(b, "a", func(string, uint64) {})
	_, err := r.HandleHeartbeat(firstHeartbeat(a, r))
	is.NoErr(err)
	b.confirmView(8, time.Now())
	is.True(b.notReady() != "") // a has a newer view
	b.offerView(viewOf(9, 3))
	b.started = time.Now()
	is.True(b.notReady() != "") // b may not know all backend servers yet
	b.started = b.started.Add(-b.serverLease())
	is.Equal(b.notReady(), "")
}

// Guards against a new instance that serves with an outdated view: its only peer is cut off, and was last
// told before the instance started that the view is the newest.
func TestConfirmationBeforeTheStartDoesNotOpenTheViewGate(t *testing.T) {
	is := is.New(t)
	cutOff, s := newTestState("a"), newTestState("b")
	for _, i := range []*instanceState{cutOff, s} {
		i.offerView(viewOf(9, 3))
	}
	cutOff.confirmView(9, time.Now().Add(-10*time.Second))
	s.started = time.Now().Add(-s.serverLease())
	s.viewGate = membership.NewViewGate(time.Now())
	r := newSubscription(s, "a", func(string, uint64) {})
	_, err := r.HandleHeartbeat(firstHeartbeat(cutOff, r))
	is.NoErr(err)
	is.Equal(s.notReady(), "the configuration may be older than that of the other instances")
	// A confirmation since the start opens it.
	cutOff.confirmView(9, time.Now())
	r = newSubscription(s, "a", func(string, uint64) {})
	_, err = r.HandleHeartbeat(firstHeartbeat(cutOff, r))
	is.NoErr(err)
	is.Equal(s.notReady(), "")
}

func TestConfirmationIsForwardedWithItsAge(t *testing.T) {
	is := is.New(t)
	a, b := newTestState("a"), newTestState("b")
	for _, s := range []*instanceState{a, b} {
		s.offerView(viewOf(9, 3))
	}
	now := time.Now()
	a.confirmView(9, now.Add(-3*time.Second))
	r := newSubscription(b, "a", func(string, uint64) {})
	_, err := r.HandleHeartbeat(firstHeartbeat(a, r))
	is.NoErr(err)
	is.True(b.viewAge(now) >= 3*time.Second)
	is.True(b.viewAge(now) < testUptime)
}

// Guards against an instance that reports others as down just after its start, because the wall clock was
// set forward meanwhile.
func TestSetWallClockMakesNoInstanceDown(t *testing.T) {
	is := is.New(t)
	s := newTestState("a")
	unknown := ledger.Dispatcher{Instance: "b", Incarnation: 1}
	s.started = time.Now()
	s.incarnation = uint64(time.Now().Add(-time.Hour).UnixNano())
	is.True(!s.IsDown(unknown))
	s.started = time.Now().Add(-2 * unknownInstanceTimeout)
	s.incarnation = uint64(time.Now().Add(time.Hour).UnixNano()) // set back
	is.True(s.IsDown(unknown))
}

func FuzzHeartbeat(f *testing.F) {
	a := newTestState("a")
	_, _ = a.HandleAnnouncement(announcement("s", 1))
	a.gossip.Publish(noticeFromWire(&wire.Notice{Fingerprint: 3, RemainingMs: 9000}, time.Now()))
	a.offerView(viewOf(9, 3))
	first := newSubscription(newTestState("b"), "a", func(string, uint64) {})
	seed, err := proto.Marshal(firstHeartbeat(a, first))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var b wire.Beat
		if proto.Unmarshal(data, &b) != nil {
			return
		}
		s := newTestState("b")
		r := newSubscription(s, "a", func(string, uint64) {})
		for range 2 {
			if _, err := r.HandleHeartbeat(&b); err != nil {
				return
			}
		}
		for _, l := range s.registry.Leases(time.Now()) {
			if l.Expires.After(time.Now().Add(5 * time.Second)) {
				t.Fatalf("a lease of %v", time.Until(l.Expires))
			}
		}
	})
}

func FuzzAnnouncement(f *testing.F) {
	seed, _ := json.Marshal(announcement("s", 1))
	f.Add(seed)
	f.Add([]byte(`{"name":"s","last":"7.zzzzzzzzzzzz","last_age_ms":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var a backend.Announcement
		if json.Unmarshal(data, &a) != nil {
			return
		}
		s := newTestState("a")
		if _, err := s.HandleAnnouncement(a); err != nil {
			return
		}
		for _, l := range s.registry.Leases(time.Now()) {
			if l.Expires.After(time.Now().Add(defaultServerLease)) {
				t.Fatalf("a lease of %v", time.Until(l.Expires))
			}
		}
	})
}

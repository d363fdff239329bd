package mesh

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/bootclock"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/matryer/is"
)

// Guards against a heartbeat that was long on its way, or waited in a paused process, and is dated by its
// arrival.
func TestDelayedHeartbeatDoesNotMakeTheDocumentYounger(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	is.NoErr(m.Publish(routing.Publication{Version: 5, Bytes: compressed(t, "five!")}))
	w := m.newWatcher("10.0.0.1:7")
	w.Request()
	w.reported[1].sent = bootclock.Now() - 10*time.Second
	w.HandleHeartbeat(w.address, &wire.WatchBeat{RoutingVersion: 5, EchoedReport: 1, RoutingConfirmedMs: 1 + 200})
	age, ok := m.RoutingConfirmation().Age()
	is.True(ok)
	is.True(age >= 10200*time.Millisecond)
	is.Equal(m.RoutingConfirmation().By, w.address)

	w.HandleHeartbeat(w.address, &wire.WatchBeat{RoutingVersion: 5, EchoedReport: 2, RoutingConfirmedMs: 1}) // never sent
	is.Equal(m.RoutingConfirmation().Version, uint64(5))
	age, _ = m.RoutingConfirmation().Age()
	is.True(age >= 10200*time.Millisecond)
}

// Guards against a document that is taken for the newest while a control instance confirms a newer one. What was
// confirmed holds for the newer document once it is in force, also if others were confirmed meanwhile.
func TestConfirmationOfANewerDocumentWaitsForIt(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	is.NoErr(m.Publish(routing.Publication{Version: 4, Bytes: compressed(t, "four")}))
	w := m.newWatcher("10.0.0.1:7")
	for version := uint64(5); version <= 7; version++ {
		w.Request()
		w.HandleHeartbeat(w.address, &wire.WatchBeat{RoutingVersion: version, EchoedReport: w.reports, RoutingConfirmedMs: 1 + 100})
	}
	_, ok := m.RoutingConfirmation().Age()
	is.True(!ok)
	is.Equal(m.RoutingConfirmation().Newest, uint64(7))
	is.NoErr(m.Publish(routing.Publication{Version: 6, Bytes: compressed(t, "sixsix")}))
	age, ok := m.RoutingConfirmation().Age()
	is.True(ok)
	is.True(age < time.Second)
	is.Equal(m.RoutingConfirmation().Version, uint64(5))
}

// Guards against control instances of an older build that keep gateways waiting for a confirmation, and against a
// gateway that forgets, once it is cut off, that its document isn't confirmed.
func TestConfirmationIsExpectedOnlyOfBuildsThatConfirm(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	older, newer := m.newWatcher("10.0.0.1:7"), m.newWatcher("10.0.0.2:7")
	older.Request()
	newer.Request()
	older.HandleHeartbeat(older.address, &wire.WatchBeat{RoutingVersion: 5})
	is.True(!m.RoutingConfirmation().IsExpected)
	newer.HandleHeartbeat(newer.address, &wire.WatchBeat{RoutingVersion: 5, EchoedReport: 1}) // not confirmed itself
	is.True(m.RoutingConfirmation().IsExpected)
	_, ok := m.RoutingConfirmation().Age()
	is.True(!ok)
	m.forgetReports(older.address)
	m.forgetReports(newer.address)
	is.True(m.RoutingConfirmation().IsExpected) // cut off
	older.HandleHeartbeat(older.address, &wire.WatchBeat{RoutingVersion: 5})
	is.True(!m.RoutingConfirmation().IsExpected) // all were replaced with the older build
}

// Guards against true denials that are held back for as long as a control instance of this build is cut off, or has yet
// to join, while the leader is of a build that confirms nothing.
func TestCutOffControlInstanceKeepsNobodyWaitingBesideOlderBuilds(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	older, newer := m.newWatcher("10.0.0.1:7"), m.newWatcher("10.0.0.2:7")
	newer.Request()
	hear := func(confirmedMs uint64) {
		older.HandleHeartbeat(older.address, &wire.WatchBeat{RoutingVersion: 5})
		newer.HandleHeartbeat(newer.address, &wire.WatchBeat{RoutingVersion: 5, EchoedReport: 1, RoutingConfirmedMs: confirmedMs})
	}
	later := func(d time.Duration) {
		m.documentAge.lastConfirmed[newer.address] -= d
	}
	hear(0)
	later(maxUnconfirmed / 2)
	hear(0)
	is.True(m.RoutingConfirmation().IsExpected)
	later(maxUnconfirmed)
	hear(0)
	is.True(!m.RoutingConfirmation().IsExpected)
	m.forgetReports(newer.address) // its connection breaks
	hear(0)
	is.True(!m.RoutingConfirmation().IsExpected)
	hear(1 + 100) // it hears a leader that confirms
	is.True(m.RoutingConfirmation().IsExpected)
	later(maxUnconfirmed)
	hear(1 + 10000) // no longer
	is.True(!m.RoutingConfirmation().IsExpected)
	m.forgetReports(older.address)
	is.True(m.RoutingConfirmation().IsExpected) // none of an older build is left
}

// Guards against a control instance that confirms a document without a confirmation of its own, or one that its
// mesh has not got yet.
func TestControlInstanceConfirmsOnlyWhatItsReplicaConfirms(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.1:7")
	is.NoErr(m.Publish(routing.Publication{Version: 4, Bytes: compressed(t, "four")}))
	f := m.NewWatchFeed(&wire.WatchRequest{Name: "g", Report: 1})
	is.Equal(next(t, f).EchoedReport, uint64(0)) // it has no replica that tells
	m.SetConfirms(true)
	f.HandleRequest(&wire.WatchRequest{Name: "g", Report: 2})
	b := next(t, f)
	is.Equal(b.EchoedReport, uint64(2))
	is.Equal(b.RoutingConfirmedMs, uint64(0))
	m.ConfirmRouting(5, bootclock.Now())
	is.Equal(next(t, f).RoutingConfirmedMs, uint64(0))
	m.ConfirmRouting(4, bootclock.Now()-300*time.Millisecond)
	b = next(t, f)
	is.True(b.RoutingConfirmedMs > 300 && b.RoutingConfirmedMs < 1300)
}

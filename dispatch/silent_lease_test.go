package dispatch

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// Guards against a content that is blamed for servers that were silent: their leases ran out beside a
// closed connection, but they accept connections and announce themselves again as the same incarnation.
func TestServersThatWereSilentHaveNotCrashed(t *testing.T) {
	is := is.New(t)
	s := &fakeFleet{}
	var all []fleet.BackendServer
	for i := range 3 {
		all = append(all, startPlainServer(t, fmt.Sprint("s", i), func(http.ResponseWriter, *http.Request) {}))
	}
	s.set(all...)
	d := New("kandy-1", "kandy", s, newFakeControl(), noCredits{}, logr.Discard())
	content := stockCall("sound").fingerprint()
	var c crashChecker
	now := time.Now()
	c.check(now, d)
	for i, silent := range all {
		request := fmt.Sprint("r", i)
		d.resilience.recordStart(request, content, silent)
		d.resilience.recordFailure(t.Context(), request, silent, true)
		s.set(slices.DeleteFunc(slices.Clone(all), func(o fleet.BackendServer) bool { return o.Name == silent.Name })...) // its lease has run out
		c.check(now, d)
		s.set(all...)
		c.check(now.Add(fleetCheckInterval), d)
	}
	is.Equal(d.resilience.check(content), quarantine.Clear)
}

// noticesTo passes the notices of a dispatcher to another one.
type noticesTo struct{ *Dispatcher }

func (p noticesTo) Publish(n membership.Notice) { p.HandleNotice(time.Now(), n) }

// leaseLoss is a server that loses its lease under a content, as two instances see it.
type leaseLoss struct {
	content     quarantine.Fingerprint
	server      fleet.BackendServer
	fleet       *fakeFleet
	d, peer     *Dispatcher
	own, ofPeer crashChecker
	now         time.Time
}

func newLeaseLoss(t *testing.T) *leaseLoss {
	l := &leaseLoss{
		content: stockCall("sound").fingerprint(),
		server:  startPlainServer(t, "s0", func(http.ResponseWriter, *http.Request) {}),
		fleet:   &fakeFleet{}, now: time.Now(),
	}
	l.fleet.set(l.server)
	l.d = New("kandy-1", "kandy", l.fleet, newFakeControl(), noCredits{}, logr.Discard())
	l.peer = New("kandy-2", "kandy", l.fleet, newFakeControl(), noCredits{}, logr.Discard())
	l.d.UsePublisher(noticesTo{l.peer})
	l.check(0)
	l.d.resilience.recordStart("r", l.content, l.server)
	l.d.resilience.recordFailure(t.Context(), "r", l.server, true)
	return l
}

// check runs the checks of both instances, the first instance's first.
func (l *leaseLoss) check(after time.Duration) {
	l.now = l.now.Add(after)
	l.own.check(l.now, l.d)
	l.ofPeer.check(l.now, l.peer)
}

func (l *leaseLoss) verdicts() [2]quarantine.Verdict {
	return [2]quarantine.Verdict{l.d.resilience.check(l.content), l.peer.resilience.check(l.content)}
}

// Guards against a crash that is withdrawn at one instance only.
func TestOtherInstancesWithdrawPresumedCrash(t *testing.T) {
	is := is.New(t)
	l := newLeaseLoss(t)
	l.fleet.set()
	l.check(fleetCheckInterval)
	is.Equal(l.verdicts(), [2]quarantine.Verdict{quarantine.Suspect, quarantine.Suspect})
	l.fleet.set(l.server)
	l.check(fleetCheckInterval)
	is.Equal(l.verdicts(), [2]quarantine.Verdict{quarantine.Clear, quarantine.Clear})
}

// Guards against a crash that stays at an instance whose checks missed that the server was gone.
func TestInstanceThatMissedTheLossWithdrawsPresumedCrash(t *testing.T) {
	is := is.New(t)
	l := newLeaseLoss(t)
	l.fleet.set()
	l.own.check(l.now, l.d)
	l.fleet.set(l.server)
	l.check(fleetCheckInterval)
	// The lease that the other instance sees may be older than the crash.
	is.Equal(l.verdicts(), [2]quarantine.Verdict{quarantine.Clear, quarantine.Suspect})
	l.check(longestLease + fleetCheckInterval)
	is.Equal(l.verdicts(), [2]quarantine.Verdict{quarantine.Clear, quarantine.Clear})
}

// Guards against a crash that is withdrawn because a restarted server is available.
func TestRestartedServerHasCrashed(t *testing.T) {
	is := is.New(t)
	l := newLeaseLoss(t)
	l.fleet.set()
	l.check(fleetCheckInterval)
	restarted := l.server
	restarted.Incarnation++
	l.fleet.set(restarted)
	l.check(fleetCheckInterval)
	l.check(longestLease + fleetCheckInterval)
	is.Equal(l.verdicts(), [2]quarantine.Verdict{quarantine.Suspect, quarantine.Suspect})
	// Even if the old incarnation is listed once more, for example by a delayed update.
	l.fleet.set(l.server)
	l.check(longestLease + fleetCheckInterval)
	is.Equal(l.verdicts(), [2]quarantine.Verdict{quarantine.Suspect, quarantine.Suspect})
}

// Guards against a crash that is withdrawn although the server refused connections.
func TestRefusedConnectionIsNotWithdrawn(t *testing.T) {
	is := is.New(t)
	l := newLeaseLoss(t)
	l.d.resilience.recordCrash(l.server.Name, l.server.Incarnation)
	l.fleet.set()
	l.check(fleetCheckInterval)
	l.fleet.set(l.server) // by a lease that was granted before
	l.check(fleetCheckInterval)
	l.check(longestLease + fleetCheckInterval)
	is.Equal(l.verdicts(), [2]quarantine.Verdict{quarantine.Suspect, quarantine.Suspect})
}

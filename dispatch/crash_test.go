package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// crashBody is the body of calls that crash each server that runs them.
const crashBody = "crash"

// toleratedCrashes is how many servers one content may crash; see docs/design/0502-quarantine.md.
const toleratedCrashes = 2

// startCrashServer starts a plain server that crashes on crashBody: it closes its connections and
// refuses new ones. runs counts those calls.
func startCrashServer(t *testing.T, name, service string, runs *atomic.Int64) fleet.BackendServer {
	t.Helper()
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // a cut body is another body
		if string(body) != crashBody {
			_, _ = w.Write([]byte("done"))
			return
		}
		runs.Add(1)
		_ = s.Listener.Close()
		s.CloseClientConnections()
	}))
	t.Cleanup(s.Close)
	return fleet.BackendServer{
		Name: name, Incarnation: 1, Sequence: 1, Address: s.Listener.Addr().String(), DataCentre: "kandy",
		Services: []string{service}, Slots: 8,
	}
}

// Guards against a protection that only idempotent calls have (found beside the incident BUDGET): a
// keyed call that crashes its server is sent to further ones under new keys.
func TestCrashingBookingIsHeldBack(t *testing.T) {
	is := is.New(t)
	c, s := newFakeControl(), &fakeFleet{}
	var runs atomic.Int64
	var servers []fleet.BackendServer
	for i := range 8 {
		servers = append(servers, startCrashServer(t, fmt.Sprint("s", i), "booking", &runs))
	}
	s.set(servers...)
	d := startDispatcher(t, "kandy-1", c, s, noPeers{})
	answered := bookingCall("before", "answered")
	answered.Body = []byte("40 barriers")
	_, err := d.Call(t.Context(), answered)
	is.True(err == nil)
	for i := range 8 {
		r := bookingCall(fmt.Sprint("r", i), fmt.Sprint("k", i))
		r.Body = []byte(crashBody)
		_, err = d.Call(t.Context(), r)
		is.True(err != nil)
		if i < toleratedCrashes {
			is.Equal(err.Outcome, outcome.Unknown) // it may have run
			continue
		}
		is.Equal(err.Code, outcome.CodeQuarantined)
		is.Equal(err.Outcome, outcome.NotRun)
	}
	is.Equal(runs.Load(), int64(toleratedCrashes))
	// A send with the key of a run that may have taken place is not told that it didn't.
	again := bookingCall("again", "k0")
	again.Body = []byte(crashBody)
	_, err = d.Call(t.Context(), again)
	is.Equal(err.Outcome, outcome.Unknown)
	// The answer of an earlier call is still returned.
	again = bookingCall("again", "answered")
	answer, err := d.Call(t.Context(), again)
	is.True(err == nil)
	is.Equal(string(answer.Body), "done")
}

// An idempotent call that crashes its server is not sent to more than two of them.
func TestCrashingCallIsHeldBack(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	var servers []fleet.BackendServer
	for i := range 8 {
		servers = append(servers, startCrashServer(t, fmt.Sprint("s", i), "stock", &runs))
	}
	d := newPlainDispatcher(servers...)
	for i := range 8 {
		r := stockCall(crashBody)
		r.ID = fmt.Sprint("r", i)
		r.Deadline = time.Now().Add(5 * time.Second)
		_, refusal := d.Call(t.Context(), r)
		is.True(refusal != nil)
	}
	is.Equal(runs.Load(), int64(toleratedCrashes))
	answer, refusal := d.Call(t.Context(), stockCall("other"))
	is.True(refusal == nil)
	is.Equal(string(answer.Body), "done")
}

// Guards against quarantining a call for crashes of other causes: it is on a server of each of two
// racks when they are lost.
func TestCallThatMeetsLostRacksIsServed(t *testing.T) {
	is := is.New(t)
	var s fakeFleet
	d := New("kandy-1", "kandy", &s, nil, noCredits{}, logr.Discard())
	var checker crashChecker
	now := time.Now()
	var runs atomic.Int64
	for rack := range 2 {
		var servers []fleet.BackendServer
		for i := range 4 {
			servers = append(servers, startCrashServer(t, fmt.Sprint("rack-", rack, "-", i), "stock", &runs))
		}
		s.set(servers...)
		now = now.Add(fleetCheckInterval)
		checker.check(now, d)
		s.set(servers[0]) // the others are lost together with the one that runs the call
		r := stockCall(crashBody)
		r.Deadline = time.Now().Add(300 * time.Millisecond) // there is no other server to wait for
		_, refusal := d.Call(t.Context(), r)
		is.True(refusal != nil)
		checker.check(now, d)
	}
	is.Equal(runs.Load(), int64(2))
	is.Equal(len(d.Quarantined()), 1)
	is.True(!d.Quarantined()[0].Quarantined)
	s.set(startPlainServer(t, "new", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) }))
	answer, refusal := d.Call(t.Context(), stockCall(crashBody))
	is.True(refusal == nil)
	is.Equal(string(answer.Body), "done")
}

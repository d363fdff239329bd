package dispatch

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
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

package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/gateway"
	"github.com/balsamlb/balsamlb/internal/bootclock"
	"github.com/matryer/is"
)

// expect sends a request to a route that exists, one to a route that doesn't, and one with an unknown key.
func (g *clusterGateway) expect(t *testing.T, when string, noRoute, noKey int) {
	t.Helper()
	for _, test := range []struct {
		path, key string
		want      int
	}{{"/check/1", "key-1", http.StatusOK}, {"/new/1", "key-1", noRoute}, {"/check/1", "key-new", noKey}} {
		r := g.send(test.path, "x", "Api-Key", test.key)
		if r.status != test.want {
			t.Errorf("%s: %s with %s was answered %d %q, want %d", when, test.path, test.key, r.status, r.body, test.want)
		}
		if isHeldBack := r.status == http.StatusServiceUnavailable; isHeldBack != (r.retryAfter != "") {
			t.Errorf("%s: %s with %s was answered %d with Retry-After %q", when, test.path, test.key, r.status, r.retryAfter)
		}
	}
}

// Guards against a gateway that denies by a document that nobody has confirmed within the bound: the route or the
// key may have been added since. What the document allows is served, and a gateway that is cut off goes on.
func TestUnconfirmedDocumentDeniesNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, crashKind{}, 0)
	c.fleet.add("a", "desk", 0, 0)
	c.controlMesh().SetConfirms(true)
	g := c.addGateway()
	c.settle()
	g.expect(t, "never confirmed", http.StatusServiceUnavailable, http.StatusServiceUnavailable)
	confirmUntil := func(holds func() bool) {
		c.until("confirmed", func() bool {
			c.controlMesh().ConfirmRouting(7, bootclock.Now())
			return holds()
		})
	}
	confirmUntil(func() bool { return g.send("/new/1", "x").status == http.StatusNotFound })
	g.expect(t, "confirmed", http.StatusNotFound, http.StatusUnauthorized)

	g.stopWatching()
	time.Sleep(gateway.DefaultRoutingApplyTime + 50*time.Millisecond)
	g.expect(t, "cut off for longer than the bound", http.StatusServiceUnavailable, http.StatusServiceUnavailable)
	g.watch()
	confirmUntil(func() bool { return g.send("/new/1", "x").status == http.StatusNotFound })
	is.True(g.mesh.RoutingConfirmation().By == c.address)
}

// Guards against gateways that deny nothing any more while all control instances are of a build that confirms no
// documents, as in an upgrade, also after all were of this build.
func TestDocumentOfAnOlderBuildDenies(t *testing.T) {
	c := newCluster(t, crashKind{}, 1)
	c.fleet.add("a", "desk", 0, 0)
	c.settle()
	g := c.gateways[0]
	g.expect(t, "older build", http.StatusNotFound, http.StatusUnauthorized)
	c.controlMesh().SetConfirms(true)
	c.until("expects confirmations", func() bool { return g.mesh.RoutingConfirmation().IsExpected })
	g.expect(t, "newer build", http.StatusServiceUnavailable, http.StatusServiceUnavailable)
	c.controlMesh().SetConfirms(false)
	c.until("expects no confirmations", func() bool { return !g.mesh.RoutingConfirmation().IsExpected })
	g.expect(t, "older build again", http.StatusNotFound, http.StatusUnauthorized)
}

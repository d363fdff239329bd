package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/quarantine"
)

// Guards against the incident BUDGET of shared crashes: a content all of whose crashes other suspects
// share has its turn at every gateway at once, and crashes a server at each.
func TestCrashingContentAmongOtherSuspectsIsHeldBack(t *testing.T) {
	for name, test := range map[string]struct {
		kind   crashKind
		path   string
		layers int
	}{
		"drafts":              {crashKind{afterFirstEvent: true}, "/advice/1", 4},
		"silent drafts":       {crashKind{afterFirstEvent: true, silent: true}, "/advice/1", 4},
		"calls":               {crashKind{}, "/check/1", 0},
		"calls that run once": {crashKind{}, "/hold/1", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, test.kind, 7)
			service := "desk"
			if test.layers > 0 {
				service = "advice"
			}
			c.fleet.addAll(12, service, 0, test.layers)
			c.settle()
			c.reportSharedCrashes(test.path, service, toleratedCrash, "crash 1", "slow 1", "slow 2")
			stop := c.sendToAll(test.path, "crash 1")
			time.Sleep(3 * contactTime)
			for i, body := range []string{"slow 1", "slow 2"} {
				c.serveInTheEnd(i, test.path, body)
			}
			stop()
			if sends, crashes := c.fleet.count("crash 1"); sends > allowedRetries {
				t.Errorf("the content reached servers %d times after three crashes, and crashed %d more; at most %d are allowed", sends, crashes, allowedRetries)
			}
		})
	}
}

// reportSharedCrashes makes crashes known to all gateways in which all of the contents were running.
func (c *cluster) reportSharedCrashes(path, service string, count int, bodies ...string) {
	c.t.Helper()
	var contents []quarantine.Fingerprint
	evidence := c.controlMesh().CrashEvidence()
	for _, body := range bodies {
		f := quarantine.NewFingerprint("kandy", service, []byte(body), "POST", "shop", path)
		contents = append(contents, f)
		for i := range count {
			evidence.AddContentCrash(time.Now(), f, quarantine.Crash{Server: fmt.Sprint("lost-", i), Incarnation: 1}, true)
		}
	}
	for _, g := range c.gateways {
		c.until("the crashes are known to "+g.name, func() bool {
			for _, f := range contents {
				if g.mesh.CrashEvidence().Check(time.Now(), f) == quarantine.Clear {
					return false
				}
			}
			return true
		})
	}
}

// serveInTheEnd sends a request to the gateways in turn until it is served.
func (c *cluster) serveInTheEnd(first int, path, body string) {
	c.t.Helper()
	for try := range maxTries {
		r := c.gateways[(first+try)%len(c.gateways)].send(path, body)
		if r.isServed() {
			return
		}
		r.wait()
	}
	c.t.Errorf("%q was never served", body)
}

// sendToAll keeps sending a content to all gateways at the same time, until stop is called.
func (c *cluster) sendToAll(path, body string) (stop func()) {
	var group sync.WaitGroup
	done := make(chan struct{})
	for _, g := range c.gateways {
		group.Go(func() {
			for {
				g.send(path, body)
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	return func() {
		close(done)
		group.Wait()
	}
}

// Guards against a content whose crashes look like the ends of its answers: each answer absolved it of the
// crashes before.
func TestContentWhoseCrashesLookLikeAnswersIsHeldBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, crashKind{afterFirstEvent: true, looksComplete: true}, 3)
	c.fleet.addAll(8, "advice", 0, 4)
	c.settle()
	c.crashUntilThird("/advice/1", "crash 1")
	time.Sleep(contactTime)
	before, _ := c.fleet.count("crash 1")
	for i := range 12 {
		c.gateways[i%len(c.gateways)].send("/advice/1", "crash 1").wait()
	}
	if after, crashes := c.fleet.count("crash 1"); after-before > allowedRetries {
		t.Errorf("the content reached servers %d times after its third crash and %v, %d crashes in all", after-before, contactTime, crashes)
	}
	r := c.gateways[0].send("/advice/1", "slow 1")
	if !r.isServed() {
		t.Errorf("a sound content was refused: %s", r.body)
	}
}

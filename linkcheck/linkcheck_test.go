package linkcheck

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/reachability"
	"github.com/matryer/is"
)

// fakeServers are servers of two services, some of which refuse connections.
type fakeServers struct {
	mu      sync.Mutex
	refuses map[string]bool // by address
	probes  int
	changes []string
}

func (f *fakeServers) probe(_ context.Context, address string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes++
	if f.refuses[address] {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (f *fakeServers) set(refuses bool, addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		f.refuses[a] = refuses
	}
}

func newFakeChecker(f *fakeServers, engines, desks int) *Checker {
	f.refuses = make(map[string]bool)
	var targets []Target
	for i := range engines {
		targets = append(targets, Target{ID: fmt.Sprint("e", i), Address: fmt.Sprint("e", i), Service: "advice"})
	}
	for i := range desks {
		targets = append(targets, Target{ID: fmt.Sprint("d", i), Address: fmt.Sprint("d", i), Service: "desk"})
	}
	return New(Options{Probe: f.probe, Targets: func() []Target { return targets }, OnChange: func(service string, isCutOff bool, _ reachability.Sample) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.changes = append(f.changes, fmt.Sprint(service, " ", isCutOff))
	}})
}

func engines(from, to int) (out []string) {
	for i := from; i < to; i++ {
		out = append(out, fmt.Sprint("e", i))
	}
	return out
}

// Guards against the incident RECOVER: an instance that reaches one engine of many, and all servers of another
// service, is cut off from the engines until it reaches most of a sample again.
func TestServicesAreJudgedApart(t *testing.T) {
	is := is.New(t)
	f := &fakeServers{}
	c := newFakeChecker(f, 38, 3)
	connected := c.UntilCutOff("advice")
	f.set(true, engines(1, 38)...)
	for range 20 { // one of 20 samples may hold the engine that is reached
		if c.Judge(time.Now(), "e1", "advice") != reachability.BlameNone {
			t.Error("a server was blamed by an instance that hardly reaches any")
		}
	}
	is.True(c.IsCutOff("advice"))
	is.True(!c.IsCutOff("desk"))
	is.True(connected.Err() != nil)
	is.Equal(c.UntilCutOff("advice"), nil)
	f.set(false, engines(1, 38)...)
	c.check("advice")
	is.True(!c.IsAnyCutOff())
	is.Equal(f.changes, []string{"advice true", "advice false"})
}

// A crashed server is blamed after one sample, which all that fail meanwhile share.
func TestCrashedServerIsBlamed(t *testing.T) {
	is := is.New(t)
	f := &fakeServers{}
	c := newFakeChecker(f, 38, 3)
	f.set(true, "e0")
	failedAt := time.Now()
	for range 10 {
		is.Equal(c.Judge(failedAt, "e0", "advice"), reachability.BlameCertain)
	}
	is.Equal(f.probes, reachability.SampleSize)
	is.Equal(len(f.changes), 0)
}

// Links are checked where answers are owed and none comes, and seldom where there are no requests.
func TestLinksAreCheckedWhenDue(t *testing.T) {
	is := is.New(t)
	f := &fakeServers{}
	c := newFakeChecker(f, 4, 2)
	start := c.started
	working := func(service string) bool { return service == "advice" }
	is.Equal(c.due(start.Add(quietAfter/2), working), nil)
	is.Equal(c.due(start.Add(quietAfter+time.Millisecond*50), working), []string{"advice"})
	is.Equal(c.due(start.Add(quietAfter+time.Millisecond*60), working), nil)
	c.RecordAnswer(start.Add(time.Second), "advice")
	is.Equal(c.due(start.Add(time.Second+quietAfter/2), working), nil)
	c.RecordAnswer(start.Add(2*idleInterval), "advice")
	is.Equal(c.due(start.Add(2*idleInterval), working), []string{"desk"})
}

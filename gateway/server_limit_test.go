package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// limitWindow is the time in which a server with a limit gets at most one and a half times what that allows,
// and limitReserve requests.
const (
	limitWindow  = 4 * time.Second
	limitReserve = 5
)

// setLimit makes all servers name a limit in requests a second; 0 means none.
func (f *crashFleet) setLimit(perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = perSecond
}

// limitHeader returns the header that names the limit of a server, or "".
func (f *crashFleet) limitHeader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.limit == 0 {
		return ""
	}
	return fmt.Sprintf("Server-Limit: %g\r\n", f.limit)
}

func (f *crashFleet) recordReceived(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received[address] = append(f.received[address], time.Now())
}

// mostReceived returns the largest number of requests that a server has received in limitWindow since a
// time, and the number of requests that all have received since.
func (f *crashFleet) mostReceived(since time.Time) (most, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, times := range f.received {
		first := 0
		for i, at := range times {
			if at.Before(since) {
				first = i + 1
				continue
			}
			all++
			for at.Sub(times[first]) > limitWindow {
				first++
			}
			most = max(most, i+1-first)
		}
	}
	return most, all
}

// Guards against LIMIT: gateways send more to a server than it takes from all of them together.
func TestGatewaysKeepTheLimitOfAServerTogether(t *testing.T) {
	for name, test := range map[string]struct {
		path, service string
		layers        int
		perSecond     float64
	}{
		"calls, 1 a second":     {"/check/1", "desk", 0, 1},
		"calls, 10.5 a second":  {"/hold/1", "desk", 0, 10.5},
		"drafts, 1 a second":    {"/advice/1", "advice", 4, 1},
		"drafts, 10.5 a second": {"/once/1", "advice", 4, 10.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, crashKind{}, 7)
			c.fleet.addAll(2, test.service, 0, test.layers)
			c.settle()
			c.fleet.setLimit(test.perSecond)
			var group sync.WaitGroup
			done := make(chan struct{})
			for i := range 28 {
				group.Go(func() {
					for n := 0; ; n++ {
						c.gateways[i%7].send(test.path, fmt.Sprint("sound ", i, "-", n))
						select {
						case <-done:
							return
						case <-time.After(20 * time.Millisecond):
						}
					}
				})
			}
			time.Sleep(contactTime)
			c.gateways[3].restart()
			since := time.Now()
			time.Sleep(3 * limitWindow)
			most, all := c.fleet.mostReceived(since)
			if allowed := 1.5*test.perSecond*limitWindow.Seconds() + limitReserve; float64(most) > allowed {
				t.Errorf("a server that takes %g requests a second got %d in %v; %g are allowed", test.perSecond, most, limitWindow, allowed)
			}
			if float64(all) < test.perSecond*3*limitWindow.Seconds() { // half of what both servers take
				t.Errorf("the servers got %d requests in %v", all, 3*limitWindow)
			}
			c.fleet.setLimit(0)
			close(done)
			group.Wait()
		})
	}
}

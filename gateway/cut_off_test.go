package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/layers"
)

// linkedOrders passes queries and orders to a fleet over the links of one gateway.
type linkedOrders struct {
	*silenceFleet
	links *emulate.Links
}

func (o linkedOrders) StallingServers(ctx context.Context, head string) (map[string]string, error) {
	if err := o.links.Reach(ctx, head); err != nil {
		return nil, err
	}
	return o.silenceFleet.StallingServers(ctx, head)
}

func (o linkedOrders) Reroute(ctx context.Context, head, request string, p layers.Path, fence uint64) (string, error) {
	if err := o.links.Reach(ctx, head); err != nil {
		return "", err
	}
	return o.silenceFleet.Reroute(ctx, head, request, p, fence)
}

func (o linkedOrders) identify(ctx context.Context, address string) (int64, error) {
	if err := o.links.Reach(ctx, address); err != nil {
		return 0, err
	}
	return o.silenceFleet.identify(ctx, address)
}

// linkFaults are the ways in which a gateway may be cut off.
var linkFaults = []emulate.LinkFault{emulate.LinkSilent, emulate.LinkReset, emulate.LinkRefusesNew, emulate.LinkLosesAnswers}

// cutLoad sends requests of every kind to each gateway at a steady rate, and counts the first tries that
// were sent in a period and how many of them were served.
type cutLoad struct {
	*silentCluster
	period  chan struct{} // closed when the period begins
	stopped chan struct{}
	senders sync.WaitGroup

	mu     sync.Mutex
	sent   map[string]int
	served map[string]int
	failed map[string]string // one failure by gateway
}

// cutLoadInterval is the time between two requests to one gateway.
const cutLoadInterval = 100 * time.Millisecond

// firstTry bounds how long a caller waits: with a margin for the race detector, the sum of the latencies
// that callers expect.
const firstTry = 4 * time.Second

func (c *silentCluster) startLoad() *cutLoad {
	l := &cutLoad{
		silentCluster: c, period: make(chan struct{}), stopped: make(chan struct{}),
		sent: make(map[string]int), served: make(map[string]int), failed: make(map[string]string),
	}
	for _, g := range c.gateways {
		l.senders.Go(func() { l.sendTo(g) })
	}
	return l
}

func (l *cutLoad) sendTo(g *silentGateway) {
	transport := l.network.newTransport()
	transport.MaxIdleConnsPerHost = 32
	defer transport.CloseIdleConnections()
	paths := []string{"/advice/1", "/advice/2", "/check/1", "/advice/3", "/hold/1"}
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ; i++ {
		select {
		case <-l.stopped:
			return
		case <-time.After(cutLoadInterval):
		}
		requests.Go(func() {
			isCounted := false
			select {
			case <-l.period:
				isCounted = true
			default:
			}
			path := paths[i%len(paths)]
			r := g.sendOver(transport, path, fmt.Sprint(g.name, " ", i), firstTry)
			if isCounted {
				l.count(g, r, r.isWhole(path))
			}
		})
	}
}

func (l *cutLoad) count(g *silentGateway, r silentReply, isServed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[g.name]++
	if isServed {
		l.served[g.name]++
		return
	}
	l.failed[g.name] = r.String()
}

// end stops the load and returns the share of first tries that each gateway has served.
func (l *cutLoad) end() map[string]float64 {
	close(l.stopped)
	l.senders.Wait()
	shares := make(map[string]float64)
	for _, g := range l.gateways {
		shares[g.name] = float64(l.served[g.name]) / float64(l.sent[g.name])
	}
	return shares
}

// check fails the test for each of the gateways that has served less than nine tenths of its first tries.
func (l *cutLoad) check(shares map[string]float64, gateways []*silentGateway, what string) {
	l.t.Helper()
	for _, g := range gateways {
		if shares[g.name] < 0.9 {
			l.t.Errorf("%s, %s, served %d of %d first tries, for example not %s", g.name, what, l.served[g.name], l.sent[g.name], l.failed[g.name])
		}
	}
}

// checkNoQuarantine fails the test if a gateway holds a content or a part of a prompt back.
func (c *silentCluster) checkNoQuarantine() {
	c.t.Helper()
	for _, g := range c.gateways {
		if log := g.log.String(); strings.Contains(log, "in quarantine") || strings.Contains(log, `"verdict"="quarantined"`) {
			c.t.Errorf("%s holds back sound requests", g.name)
		}
	}
}

// playCut cuts some of seven gateways off from all servers and returns the load that was sent from
// contactTime after that.
func playCut(t *testing.T, fault emulate.LinkFault, cut int) (l *cutLoad, shares map[string]float64) {
	c := newVirtualCluster(t, 7, ampleRetries)
	c.fleet.closesConns = fault == emulate.LinkRefusesNew // so that new connections are needed
	c.fleet.addCopies(3)
	for range 3 {
		c.fleet.add("desk", 0, 0)
	}
	c.settle()
	l = c.startLoad()
	time.Sleep(time.Second)
	for _, g := range c.gateways[:cut] {
		g.links.Break(fault)
	}
	time.Sleep(contactTime)
	close(l.period)
	time.Sleep(contactTime)
	return l, l.end()
}

// Guards against the incident RECOVER: gateways that are cut off from all servers report these, so that the others'
// callers are refused, and refuse their own callers. It is played in virtual time, since a gateway that gets no
// processor time for as long as its limits takes itself or the servers for cut off.
func TestCallersAreServedThoughGatewaysAreCutOff(t *testing.T) {
	for _, fault := range linkFaults {
		for _, cut := range []int{2, 3, 5} {
			t.Run(fmt.Sprint(fault, ", ", cut, " of 7"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					l, shares := playCut(t, fault, cut)
					l.check(shares, l.gateways[cut:], "not cut off")
					l.check(shares, l.gateways[:cut], "cut off")
					l.checkNoQuarantine()
				})
			})
		}
	}
}

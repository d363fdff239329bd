package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/gateway"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/platform"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr/funcr"
	"github.com/klauspost/compress/zstd"
	"github.com/prometheus/client_golang/prometheus"
)

// silenceRouting describes a version of the routing document.
type silenceRouting struct {
	timeout time.Duration
	// target is where the streams go.
	target string
	// withoutStreams means that the routes of streams are missing.
	withoutStreams bool
}

const (
	toAdvice = `"Service":"advice"`
	toReview = `"TrafficSplit":[{"Service":"advice","Weight":0},{"Service":"review","Weight":100}]`
)

// usualRouting is the routing document until a test changes it.
var usualRouting = silenceRouting{timeout: 20 * time.Second, target: toAdvice}

func (r silenceRouting) encode(version uint64) []byte {
	routes := []string{
		`{"Name":"hold","Hostname":"shop","PathPrefix":"/hold/","Kind":"non_idempotent","TimeoutMs":8000,"Service":"desk","MaxAttempts":2}`,
		`{"Name":"check","Hostname":"shop","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":8000,"Service":"desk","MaxAttempts":2}`,
	}
	if !r.withoutStreams {
		for prefix, rest := range map[string]string{"advice": `"MaxAttempts":2,"CanResume":true`, "single": `"MaxAttempts":1,"CanResume":true`, "once": `"MaxAttempts":2`} {
			routes = append(routes, fmt.Sprintf(`{"Name":%q,"Hostname":"shop","PathPrefix":"/%s/","Kind":"streaming","TimeoutMs":%d,%s,%s}`,
				prefix, prefix, r.timeout.Milliseconds(), r.target, rest))
		}
	}
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[%s],"Services":[{"Name":"advice",%s},{"Name":"review",%s},{"Name":"desk"}],
"Limits":{"MaxBodyBytes":1000},"Tenants":[{"Name":"kandy","ApiKeys":["key-1"]}]}`, version, strings.Join(routes, ","), silenceEngine, silenceEngine)
}

const silenceEngine = `"Engine":{"Slots":64,"KvBytes":10,"Layers":4,"LayerMb":10,"ActivationBytes":1000,"CrossZoneMbps":1000,"step_ms":1,"read_per_s":100000,"usual":{"prompt":10,"answer":10},"Models":[{"Name":"m","LoadS":1}],"Kinds":[{"Name":"card","Mb":100,"pace":1,"ReadFactor":1}]}`

// silentCluster is a control instance and several gateways before a silenceFleet. The gateways serve
// callers at their own listeners.
type silentCluster struct {
	t        *testing.T
	network  network
	fleet    *silenceFleet
	limits   retryLimits
	address  string // of the control instance
	control  *mesh.Mesh
	version  uint64
	gateways []*silentGateway
	requests atomic.Int64

	mu sync.Mutex
	// sent holds the times of the requests to a path.
	sent map[string][]time.Time
}

// retryLimits are the retry limits of all gateways.
type retryLimits struct{ ratio, reserve float64 }

// retryWindow is the window in which they hold.
const retryWindow = 5 * time.Second

// ampleRetries never limit a test.
var ampleRetries = retryLimits{ratio: 1, reserve: 1000}

// silentGateway is one gateway of a silentCluster.
type silentGateway struct {
	cluster *silentCluster
	name    string
	// address stays the same over restarts.
	address      string
	relayAddress string
	links        *emulate.Links // to the backend servers
	mesh         *mesh.Mesh
	gateway      *gateway.Gateway
	shutDown     context.CancelFunc
	done         chan struct{}
	stopRelays   func()
	stopWatching func()
	log          lockedBuffer
}

// shutdownGrace is the grace period of the gateways.
const shutdownGrace = 4 * time.Second

func newSilentCluster(t *testing.T, gateways int, limits retryLimits) *silentCluster {
	t.Helper()
	return newSilentClusterIn(t, network{}, gateways, limits)
}

// newVirtualCluster returns a cluster in a network in memory, for a test that runs in a synctest bubble. Its control
// instance says nothing about the age of documents, which goes by the machine's clock (bootclock).
func newVirtualCluster(t *testing.T, gateways int, limits retryLimits) *silentCluster {
	t.Helper()
	t.Cleanup(func() { time.Sleep(connsExpire) }) // no goroutine may outlast the bubble
	return newSilentClusterIn(t, network{emulate.NewNetwork()}, gateways, limits)
}

// connsExpire is longer than idle connections between gateways are kept.
const connsExpire = 10 * time.Second

func newSilentClusterIn(t *testing.T, n network, gateways int, limits retryLimits) *silentCluster {
	t.Helper()
	c := &silentCluster{t: t, network: n, fleet: newSilenceFleet(t, n), limits: limits, version: 6, sent: make(map[string][]time.Time)}
	l, err := n.listen(c.fleet.ip + ":0")
	if err != nil {
		t.Fatal(err)
	}
	c.address = l.Addr().String()
	c.control = newMeshOver(t, n.dialer(t), "control", c.address)
	c.publish(usualRouting)
	server := instance.NewServer(nil, nil)
	server.SetWatchSource(c.control)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, l) })
	group.Go(func() {
		for ctx.Err() == nil {
			now := time.Now()
			c.control.Expire(now, now.Add(-silentAfter))
			select {
			case <-ctx.Done():
			case <-time.After(announceInterval):
			}
		}
	})
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	c.fleet.mu.Lock()
	c.fleet.announce = func(a discovery.Announcement) { c.control.Announce(time.Now(), a) }
	c.fleet.mu.Unlock()
	ip := newLoopback() // nothing else takes its ports, so that gateways can be restarted
	for i := range gateways {
		g := &silentGateway{cluster: c, name: fmt.Sprint("g", i), address: fmt.Sprintf("%s:%d", ip, 8080+i), relayAddress: fmt.Sprintf("%s:%d", ip, 9080+i), links: n.links()}
		c.gateways = append(c.gateways, g)
		g.start()
		t.Cleanup(g.stop)
	}
	return c
}

// publish publishes the next version of the routing document.
func (c *silentCluster) publish(r silenceRouting) {
	c.t.Helper()
	c.version++
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.control.Publish(routing.Publication{Version: c.version, Bytes: encoder.EncodeAll(r.encode(c.version), nil)}); err != nil {
		c.t.Fatal(err)
	}
}

func (g *silentGateway) start() {
	c := g.cluster
	g.log.add("", startMark)
	g.mesh = newMeshOver(c.t, c.network.dialer(c.t), g.name, "", c.address)
	g.gateway = gateway.New(gateway.Options{
		Name: g.name, DataCentre: "a", ListenAddress: g.address, GracePeriod: shutdownGrace, Mesh: g.mesh,
		ShutdownDelay: 100 * time.Millisecond, HeaderCodec: platform.HeaderCodec{}, Orders: linkedOrders{c.fleet, g.links}, Identify: linkedOrders{c.fleet, g.links}.identify, Registry: prometheus.NewRegistry(),
		Dial: g.links.Dial, Listen: c.network.listenForCallers(), RelayAddress: g.relayAddress, Relayer: instance.NewRelayer(c.network.dialer(c.t)), RetryRatio: c.limits.ratio, RetryReserve: c.limits.reserve, RetryWindow: retryWindow, Log: funcr.New(g.log.add, funcr.Options{LogTimestamp: true, TimestampFormat: clockFormat}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	g.shutDown, g.done = cancel, done
	go func() {
		defer close(done)
		if err := g.gateway.Run(ctx); err != nil {
			c.t.Errorf("%s: %v", g.name, err)
		}
	}()
	g.startRelays()
	g.watch()
}

// startRelays makes the gateway take requests of others.
func (g *silentGateway) startRelays() {
	l, err := g.cluster.network.listen(g.relayAddress)
	if err != nil {
		g.cluster.t.Errorf("%s: %v", g.name, err)
		return
	}
	server := instance.NewServer(nil, nil)
	server.SetRelayHandler(g.gateway)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, l) })
	g.stopRelays = func() {
		cancel()
		group.Wait()
	}
}

// startMark is the log line at the start of a gateway, which knows nothing of before.
const startMark = "the gateway starts"

// watch connects the gateway to the control instance.
func (g *silentGateway) watch() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = g.mesh.Run(ctx) })
	g.stopWatching = func() {
		cancel()
		group.Wait()
	}
}

// stop shuts the gateway down and waits for its end.
func (g *silentGateway) stop() {
	g.shutDown()
	<-g.done
	g.stopRelays()
	g.stopWatching()
}

// settle waits until each gateway knows the current document and all servers that are up.
func (c *silentCluster) settle() {
	c.t.Helper()
	for _, g := range c.gateways {
		c.within(20*time.Second, "the current state is known to "+g.name, func() bool {
			if g.gateway.KnownRouting() != c.version {
				return false
			}
			c.fleet.mu.Lock()
			defer c.fleet.mu.Unlock()
			for _, server := range c.fleet.servers {
				if state := g.gateway.KnownState(server.id); state == 0 || !server.leaves && state != discovery.StateReady {
					return false
				}
			}
			conn, err := c.network.dial(c.t.Context(), g.address)
			if err == nil {
				_ = conn.Close()
			}
			return err == nil
		})
	}
}

// within polls a condition until it holds, and fails the test if it doesn't hold in time.
func (c *silentCluster) within(limit time.Duration, what string, holds func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Errorf("not within %v: %s", limit, what)
			return
		}
	}
}

// silentReply is the answer to one request as its caller received it.
type silentReply struct {
	id         string
	status     int
	retryAfter string
	// events are the IDs of the events of a stream; body is the body of another answer.
	events []int
	body   string
	// err is nil if the answer is complete.
	err   error
	began time.Time
	took  time.Duration
}

func (r silentReply) String() string {
	return fmt.Sprintf("%s: status %d, events %v, body %q, error %v, after %v", r.id, r.status, r.events, r.body, r.err, r.took.Round(time.Millisecond))
}

// isWhole reports whether the reply is a complete successful answer, with each event once and in
// order.
func (r silentReply) isWhole(path string) bool {
	if r.err != nil || r.status != http.StatusOK {
		return false
	}
	if isCall(path) {
		return r.body == "done"
	}
	for i, id := range r.events {
		if id != r.events[0]+i {
			return false
		}
	}
	return len(r.events) > 0 && r.events[len(r.events)-1] == silenceEvents
}

func isCall(path string) bool {
	return strings.HasPrefix(path, "/hold/") || strings.HasPrefix(path, "/check/")
}

// send sends one request on a connection of its own. deadline bounds the caller's wait.
func (g *silentGateway) send(path string, deadline time.Duration, header ...string) silentReply {
	transport := g.cluster.network.newTransport()
	defer transport.CloseIdleConnections()
	return g.sendOver(transport, path, fmt.Sprint("body ", g.cluster.requests.Load()), deadline, header...)
}

// sendOver sends one request over the transport's connections.
func (g *silentGateway) sendOver(transport *http.Transport, path, body string, deadline time.Duration, header ...string) silentReply {
	began := time.Now()
	g.cluster.recordSent(path, began)
	reply := silentReply{id: fmt.Sprintf("req-%d", g.cluster.requests.Add(1)), began: began}
	// The caller waits a little longer than the deadline that it states.
	ctx, cancel := context.WithTimeout(context.Background(), deadline+callerSlack)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+path, strings.NewReader(body))
	if err != nil {
		reply.err = err
		return reply
	}
	r.Host = "shop"
	r.Header.Set("Balsamlb-Request-Id", reply.id)
	r.Header.Set("Balsamlb-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Api-Key", "key-1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		reply.err = err
		reply.took = time.Since(began)
		return reply
	}
	defer resp.Body.Close()
	reply.status, reply.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	reply.read(resp)
	reply.took = time.Since(began)
	return reply
}

func (c *silentCluster) recordSent(path string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[path] = append(c.sent[path], at)
}

// sentTo returns the times of the requests to a service, which may be the target of the streams.
func (c *silentCluster) sentTo(service string) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []time.Time
	for path, times := range c.sent {
		if isCall(path) == (service == "desk") {
			out = append(out, times...)
		}
	}
	return out
}

// callerSlack is the time after its deadline at which a caller closes its connection.
const callerSlack = time.Second

// read reads the body of a response.
func (r *silentReply) read(resp *http.Response) {
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		text, err := io.ReadAll(resp.Body)
		r.body, r.err = string(text), err
		return
	}
	br := bufio.NewReader(resp.Body)
	for {
		line, err := br.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return
		}
		if err != nil {
			r.err = err
			return
		}
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			n, _ := strconv.Atoi(id)
			r.events = append(r.events, n)
		}
	}
}

// checkWhole fails the test unless the reply is whole.
func (c *silentCluster) checkWhole(path string, r silentReply) {
	c.t.Helper()
	if !r.isWhole(path) {
		c.t.Errorf("no whole answer: %v%s", r, c.fleet.describe(r.id))
	}
}

// checkRuns checks the runs of one request: at servers that did not crash no more than allowed, and no
// run that is at work half a second after another one has won.
func (c *silentCluster) checkRuns(id string, maxAttempts int) {
	c.t.Helper()
	runs := c.fleet.runsOf(id)
	count := 0
	for _, r := range runs {
		if !r.isCrashed {
			count++
		}
	}
	if count > maxAttempts {
		c.t.Errorf("%s ran %d times at servers that did not crash; %d are allowed%s", id, count, maxAttempts, c.fleet.describe(id))
	}
	for i, loser := range runs {
		for j, winner := range runs {
			if i != j && winner.isComplete && !loser.isComplete && !loser.isCrashed {
				c.checkLoser(loser, winner)
			}
		}
	}
}

// outlives is how long a run may go on after another one has won.
const outlives = 500 * time.Millisecond

// checkLoser checks that a run ended soon after another one has won: by the first event that it sent
// while both ran. A silent server ends the run when it goes on.
func (c *silentCluster) checkLoser(loser, winner silentRun) {
	c.t.Helper()
	for _, at := range winner.sentAt {
		if at.Before(loser.began) || at.Before(winner.began) {
			continue
		}
		c.fleet.mu.Lock()
		if loser.server.spokeAt.After(at) {
			at = loser.server.spokeAt
		}
		isSilent := loser.server.silence >= silentServer
		c.fleet.mu.Unlock()
		ended := loser.ended
		if ended.IsZero() && !isSilent {
			ended = time.Now()
		}
		if late := ended.Sub(at); late > outlives {
			c.t.Errorf("a run of %s went on for %v after another had won%s", loser.request, late, c.fleet.describe(loser.request))
		}
		return
	}
}

// checkRetries checks the retries for a service, of which the callers sent requests at the given
// times, in any window. The requests are those of the window, of the one before or of the one half a
// window before, whichever has most.
func (c *silentCluster) checkRetries(service string, sent []time.Time) {
	c.t.Helper()
	within := func(times []time.Time, from time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	retries := c.fleet.retries(service)
	for _, from := range retries {
		requests := max(within(sent, from), within(sent, from.Add(-retryWindow/2)), within(sent, from.Add(-retryWindow)))
		if n := within(retries, from); float64(n) > c.limits.ratio*float64(requests)+c.limits.reserve {
			c.t.Errorf("%s got %d retries of %d requests within %v; %v x requests + %v are allowed", service, n, requests, retryWindow, c.limits.ratio, c.limits.reserve)
			return
		}
	}
}

// checkNoSuspects checks that the silence has left no suspect content, no server that counts as
// crashed or unresponsive, at any gateway. It has to be called when no server is silent.
func (c *silentCluster) checkNoSuspects() {
	c.t.Helper()
	for _, g := range c.gateways {
		c.within(contactTime, "no server counts as unresponsive at "+g.name, func() bool { return len(g.mesh.Snapshot().Unresponsive) == 0 })
		c.within(contactTime, "no server counts as crashed at "+g.name, func() bool { return len(g.countedCrashes()) == 0 })
		if entries := g.mesh.CrashEvidence().List(time.Now()); len(entries) > 0 {
			c.t.Errorf("%s suspects contents: %v", g.name, entries)
		}
		if strings.Contains(g.log.String(), "quarantine") {
			c.t.Errorf("%s quarantined a content", g.name)
		}
	}
}

// countedCrashes returns the servers that never crashed and whose crash the gateway has logged and not
// taken back.
func (g *silentGateway) countedCrashes() map[string]int {
	c := g.cluster
	counts := make(map[string]int)
	for line := range strings.Lines(g.log.String()) {
		_, rest, _ := strings.Cut(line, `"server"="`)
		id, _, _ := strings.Cut(rest, `"`)
		switch {
		case strings.Contains(line, startMark):
			clear(counts)
		case strings.Contains(line, "a backend server has crashed"):
			counts[id]++
		case strings.Contains(line, "a backend server has not crashed"):
			counts[id]--
		}
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	maps.DeleteFunc(counts, func(id string, n int) bool { return n <= 0 || c.fleet.crashed[id] })
	return counts
}

// logOnFailure prints the logs of the gateways if the test has failed.
func (c *silentCluster) logOnFailure() {
	if !c.t.Failed() {
		return
	}
	for _, g := range c.gateways {
		c.t.Logf("%s:\n%s", g.name, g.log.String())
	}
}

// onEventsOfAll calls do once, when count runs have sent that many events; they wait for one another.
func (f *silenceFleet) onEventsOfAll(events, count int, do func(run *silentRun)) {
	reached := make(chan struct{})
	left := count
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onProgress = func(run *silentRun) {
		f.mu.Lock()
		isHere := run.sent == events && left > 0
		if isHere {
			left--
		}
		isLast := isHere && left == 0
		f.mu.Unlock()
		switch {
		case isLast:
			do(run)
			close(reached)
		case isHere:
			select {
			case <-reached:
			case <-f.ctx.Done():
			}
		}
	}
}

// onEvents calls do once, when the first run has sent that many events.
func (f *silenceFleet) onEvents(events int, do func(run *silentRun)) {
	var once sync.Once
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onProgress = func(run *silentRun) {
		f.mu.Lock()
		isDue := run.sent >= events
		f.mu.Unlock()
		if isDue {
			once.Do(func() { do(run) })
		}
	}
}

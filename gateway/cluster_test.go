package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/gateway"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/platform"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/klauspost/compress/zstd"
	"github.com/prometheus/client_golang/prometheus"
)

// clusterDocument is the routing document of clusters. It has two workspaces, and two services of
// each kind.
const clusterDocument = `{"Version":7,"Routes":[
 {"Name":"stream","Hostname":"shop","PathPrefix":"/advice/","Kind":"streaming","TimeoutMs":20000,"Service":"advice","MaxAttempts":2,"CanResume":true},
 {"Name":"once-stream","Hostname":"shop","PathPrefix":"/once/","Kind":"streaming","TimeoutMs":20000,"Service":"advice","MaxAttempts":2},
 {"Name":"hold","Hostname":"shop","PathPrefix":"/hold/","Kind":"non_idempotent","TimeoutMs":5000,"Service":"desk","MaxAttempts":2},
 {"Name":"check","Hostname":"shop","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":5000,"Service":"desk","MaxAttempts":2},
 {"Name":"shelf","Hostname":"shop","PathPrefix":"/shelf/","Kind":"idempotent","TimeoutMs":5000,"Service":"store","MaxAttempts":2}],
"Services":[{"Name":"advice","Engine":{"Slots":64,"KvBytes":10,"Layers":4,"LayerMb":10,"ActivationBytes":1000,"CrossZoneMbps":1000,"step_ms":1,"read_per_s":100000,"usual":{"prompt":10,"answer":10},"Models":[{"Name":"m","LoadS":1}],"Kinds":[{"Name":"card","Mb":100,"pace":1,"ReadFactor":1}]}},{"Name":"desk"},{"Name":"store"}],
"Limits":{"MaxBodyBytes":1000},
"Tenants":[{"Name":"kandy","ApiKeys":["key-1"]},{"Name":"galle","ApiKeys":["key-2"]}]}`

// cluster is a control instance and several gateways, connected as in a deployment, before a
// crashFleet. The control instance has no consensus; its mesh is real.
type cluster struct {
	t        *testing.T
	fleet    *crashFleet
	address  string // of the control instance
	gateways []*clusterGateway
	requests atomic.Int64

	mu      sync.Mutex
	control *mesh.Mesh
	stop    func()
}

// silentAfter is the time without an announcement after which a server is silent.
const silentAfter = 8 * announceInterval

// clusterGateway is one gateway of a cluster.
type clusterGateway struct {
	cluster *cluster
	name    string
	mesh    *mesh.Mesh
	gateway *gateway.Gateway
	stop    func()
	// front changes at a restart, also while requests are sent.
	front atomic.Pointer[httptest.Server]
	// stopWatching cuts the gateway off from the control instance.
	stopWatching func()
	log          lockedBuffer
}

// lockedBuffer collects log lines. It is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) add(_, line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text.WriteString(line + "\n")
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newCluster(t *testing.T, kind crashKind, gateways int) *cluster {
	t.Helper()
	c := &cluster{t: t, fleet: newCrashFleet(t, kind)}
	c.fleet.announce = func(a discovery.Announcement) { c.controlMesh().Announce(time.Now(), a) }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.address = l.Addr().String()
	c.startControl(l)
	t.Cleanup(func() { c.stop() })
	for range gateways {
		c.addGateway()
	}
	return c
}

func (c *cluster) controlMesh() *mesh.Mesh {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.control
}

func newDialer(t *testing.T) instance.Dialer {
	t.Helper()
	dialer, err := instance.NewDialer("127.0.0.1:1", nil, &meter.Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	return dialer
}

func newClusterMesh(t *testing.T, name, control string, seeds ...string) *mesh.Mesh {
	t.Helper()
	return newMeshOver(t, newDialer(t), name, control, seeds...)
}

func newMeshOver(t *testing.T, dialer instance.Dialer, name, control string, seeds ...string) *mesh.Mesh {
	t.Helper()
	m, err := mesh.New(mesh.Options{
		Name: name, DataCentre: "a", ControlAddress: control, Seeds: seeds, Dialer: dialer, Decode: platform.DecodeDocument, Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// startControl starts the control instance with the routing document and without other knowledge.
func (c *cluster) startControl(l net.Listener) {
	c.t.Helper()
	m := newClusterMesh(c.t, "control", c.address)
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := m.Publish(routing.Publication{Version: 7, Bytes: encoder.EncodeAll([]byte(clusterDocument), nil)}); err != nil {
		c.t.Fatal(err)
	}
	server := instance.NewServer(nil, nil)
	server.SetWatchSource(m)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, l) })
	group.Go(func() {
		for ctx.Err() == nil {
			now := time.Now()
			m.Expire(now, now.Add(-silentAfter))
			select {
			case <-ctx.Done():
			case <-time.After(announceInterval):
			}
		}
	})
	c.mu.Lock()
	c.control = m
	c.stop = func() {
		cancel()
		group.Wait()
	}
	c.mu.Unlock()
}

// restartControl stops the control instance and starts it again. saved is what the instance has
// saved to its disk; nil if the disk is lost.
func (c *cluster) restartControl(saved []byte) {
	c.t.Helper()
	c.stop()
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		c.t.Fatal(err)
	}
	c.startControl(l)
	if saved != nil {
		if _, err := c.controlMesh().RestoreServers(time.Now(), saved); err != nil {
			c.t.Fatal(err)
		}
	}
}

// addGateway starts a gateway and waits until it knows all servers.
func (c *cluster) addGateway() *clusterGateway {
	c.t.Helper()
	g := &clusterGateway{cluster: c, name: fmt.Sprint("g", len(c.gateways))}
	c.gateways = append(c.gateways, g)
	g.start()
	c.t.Cleanup(func() { g.stop() })
	return g
}

func (g *clusterGateway) start() {
	g.mesh = newClusterMesh(g.cluster.t, g.name, "", g.cluster.address)
	g.gateway = gateway.New(gateway.Options{
		Name: g.name, DataCentre: "a", ListenAddress: "127.0.0.1:0", GracePeriod: time.Second, Mesh: g.mesh,
		ShutdownDelay: time.Millisecond, HeaderCodec: platform.HeaderCodec{}, Orders: g.cluster.fleet, Registry: prometheus.NewRegistry(),
		RetryRatio: 1, RetryReserve: 1000, Log: funcr.New(g.log.add, funcr.Options{}),
	})
	front := httptest.NewServer(g.gateway)
	g.front.Store(front)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = g.gateway.Run(ctx) })
	g.watch()
	g.stop = func() {
		front.CloseClientConnections()
		front.Close()
		cancel()
		group.Wait()
		g.stopWatching()
	}
}

// watch connects the gateway to the control instance.
func (g *clusterGateway) watch() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = g.mesh.Run(ctx) })
	g.stopWatching = func() {
		cancel()
		group.Wait()
	}
}

// restart stops the gateway and starts it again, without any memory.
func (g *clusterGateway) restart() {
	g.stop()
	g.start()
}

// until polls a condition until it holds.
func (c *cluster) until(what string, holds func() bool) {
	c.t.Helper()
	for !holds() {
		select {
		case <-c.t.Context().Done():
			c.t.Fatalf("never held: %s", what)
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// settle waits until every gateway knows the document and each server that is up as ready.
func (c *cluster) settle() {
	c.t.Helper()
	for _, g := range c.gateways {
		c.until("all servers are known to "+g.name, func() bool {
			isReady := func(id string) bool { return g.gateway.KnownState(id) == discovery.StateReady }
			return g.gateway.KnownRouting() > 0 && c.fleet.allUp(isReady)
		})
	}
}

// allUp reports whether all servers are up, and known by the ID of their current incarnation.
func (f *crashFleet) allUp(isReady func(id string) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if f.kind.stays && !s.isUp || s.isSilent && f.kind.stays {
			continue
		}
		if !s.isUp || s.isSilent || !isReady(s.id) {
			return false
		}
	}
	return true
}

// reply is a response as a caller received it.
type clusterReply struct {
	status     int
	retryAfter string
	body       string
	err        error
	id         string
}

// isServed reports whether the caller got a complete successful answer.
func (r clusterReply) isServed() bool { return r.err == nil && r.status == http.StatusOK }

// wait waits as the Retry-After header asks, but at most maxRetryWait.
func (r clusterReply) wait() {
	seconds, err := strconv.ParseFloat(r.retryAfter, 64)
	if err != nil { // the header is missing
		time.Sleep(downtime)
		return
	}
	time.Sleep(min(maxRetryWait, time.Duration(seconds*float64(time.Second))))
}

// maxRetryWait is the longest time that a caller waits before it sends a request again.
const maxRetryWait = 3 * time.Second

// send sends a request with a new ID. It checks that a request that has run is never reported as not
// run, and that only requests that may be repeated run twice.
func (g *clusterGateway) send(path, body string, header ...string) clusterReply {
	r := g.exchange(path, body, header...)
	runs := g.cluster.fleet.runCount(r.id)
	if r.status == http.StatusServiceUnavailable && runs > 0 {
		g.cluster.t.Errorf("%s %q has run and was answered 503: %s", path, body, r.body)
	}
	if runs > 1 && (strings.HasPrefix(path, "/hold/") || strings.HasPrefix(path, "/once/")) {
		g.cluster.t.Errorf("%s %q has run %d times", path, body, runs)
	}
	return r
}

func (g *clusterGateway) exchange(path, body string, header ...string) clusterReply {
	id := fmt.Sprintf("req-%d", g.cluster.requests.Add(1))
	front := g.front.Load()
	r, err := http.NewRequestWithContext(g.cluster.t.Context(), http.MethodPost, front.URL+path, strings.NewReader(body))
	if err != nil {
		return clusterReply{err: err, id: id}
	}
	r.Host = "shop"
	r.Header.Set("Balsamlb-Request-Id", id)
	r.Header.Set("Api-Key", "key-1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := front.Client().Do(r)
	if err != nil {
		return clusterReply{err: err, id: id}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return clusterReply{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), body: string(text), err: err, id: id}
}

// Package daemon wires the duties of one instance together and ends them in order.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/balancer"
	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/metrics"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/balsamlb/balsamlb/trace"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	// balancerNotice is how long the instance still takes callers after it has said that
	// it is not ready, so that the balancer notices first.
	balancerNotice = time.Second
	// shutdownGrace bounds the wait for requests in flight.
	shutdownGrace = 10 * time.Minute
	// farewellTime is how long the others have to learn that the instance has left.
	farewellTime = 100 * time.Millisecond
	// handOverTime bounds the wait for another leader.
	handOverTime = time.Second
	// traceLines is how many log lines are kept for operators.
	traceLines = 20_000
)

// Daemon is one instance.
type Daemon struct {
	process    settings.Process
	log        logr.Logger
	lines      *trace.Recorder
	secrets    *secrets
	dialer     instance.Dialer
	traffic    *traffic
	shared     *shared
	host       *control.Host
	store      *storage.Log
	sender     *instance.ConsensusSender
	proposer   *instance.Proposer
	credits    *creditDuty
	admitter   *admitter
	dispatcher *dispatch.Dispatcher
}

// New opens the data folder, if there is one, and builds the instance.
func New(p settings.Process, base logr.Logger) (*Daemon, error) {
	lines := trace.NewRecorder(traceLines, time.Now)
	log := lines.Logger(base)
	secrets, err := loadSecrets(p)
	if err != nil {
		return nil, err
	}
	traffic := &traffic{}
	dialer, err := instance.NewDialer(p.Instances, secrets.between(), &traffic.instances)
	if err != nil {
		return nil, err
	}
	d := &Daemon{process: p, log: log, lines: lines, secrets: secrets, dialer: dialer, traffic: traffic}
	d.shared = newShared(p, uint64(time.Now().UnixNano()), log)
	d.proposer = instance.NewProposer(dialer, voterAddresses(p))
	d.credits = newCreditDuty(p.Name, d.shared.incarnation, d.proposer, log.WithName("credit"))
	d.admitter = newAdmitter(xxhash.Sum64String(p.Name), p.Naive, d.shared.Intent, log.WithName("admission"))
	d.shared.facts.exchangeUsage(d.admitter)
	d.dispatcher = dispatch.New(p.Name, p.DataCentre, d.shared, d.proposer, d.credits, log)
	d.dispatcher.UsePeers(d.shared.incarnation, d.shared)
	d.admitter.forecast = d.forecast
	d.dispatcher.OnServed(d.admitter.served)
	d.dispatcher.UsePublisher(d.shared.facts)
	d.shared.facts.handleNotices(d.dispatcher)
	if p.Naive {
		d.dispatcher.UseNaivePolicy()
	}
	if p.IsControl() {
		if err := d.openReplica(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func voterAddresses(p settings.Process) []string {
	var out []string
	for _, v := range p.Voters {
		out = append(out, v.Address)
	}
	return out
}

func (d *Daemon) openReplica() error {
	store, stored, err := storage.Open(storage.Options{Folder: d.process.DataFolder, Instance: d.process.Name})
	if err != nil {
		return err
	}
	d.store = store
	d.sender = instance.NewConsensusSender(d.dialer)
	var ids []string
	for _, v := range d.process.Voters {
		ids = append(ids, v.Name)
		if v.Name != d.process.Name {
			d.sender.Reach(v.Name, v.Address)
		}
	}
	d.host, err = control.NewHost(control.Options{
		ID:      d.process.Name,
		Address: d.process.Advertise,
		Voters:  ids,
		Seed:    d.process.Seed,
		Storage: store,
		Sender:  d.sender,
		OnView:  d.shared.offerView,
		Log:     d.log.WithName("control"),
	}, stored)
	if err != nil {
		_ = store.Close()
		return err
	}
	identity := store.Identity()
	d.log.Info("opened the data folder", "folder", d.process.DataFolder, "disk", identity.Disk, "start", identity.Starts,
		"snapshot", stored.Snapshot.Index, "entries", len(stored.Entries), "cut_bytes", store.TruncatedBytes)
	return nil
}

// Run serves until ctx ends, then drains and stops.
func (d *Daemon) Run(ctx context.Context) error {
	// Duties outlive ctx until the requests in flight have ended.
	dutyCtx, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	g, dutyCtx := errgroup.WithContext(dutyCtx)
	servers, err := d.serve(dutyCtx, g)
	if err != nil {
		stopDuties()
		_ = g.Wait()
		return err
	}
	exchange := newExchangeDuty(d.shared, d.host, d.dialer)
	g.Go(func() error { return exchange.run(dutyCtx) })
	g.Go(func() error { return d.credits.run(dutyCtx) })
	g.Go(func() error { return d.admitter.runTicks(dutyCtx) })
	g.Go(func() error { return d.runForecasts(dutyCtx) })
	g.Go(func() error { return d.dispatcher.Run(dutyCtx) })
	g.Go(func() error { return d.secrets.run(dutyCtx, d.log.WithName("keys")) })
	if d.host != nil {
		g.Go(func() error { return d.host.Run(dutyCtx) })
		orders := newPlacementDuty(d.shared, d.host, d.log.WithName("placement"))
		g.Go(func() error { return orders.run(dutyCtx) })
		g.Go(func() error { return d.sender.Run(dutyCtx) })
		g.Go(func() error { return d.runMoves(dutyCtx) })
	}
	d.log.Info("started", "instance", d.process.Name, "data_centre", d.process.DataCentre)
	select {
	case <-ctx.Done():
		d.drain(dutyCtx)
		d.handOver(dutyCtx)
		d.shared.setLeft()
		sleep(dutyCtx, farewellTime)
	case <-dutyCtx.Done():
	}
	stopDuties()
	for _, s := range servers {
		_ = s.Shutdown()
	}
	err = g.Wait()
	if d.store != nil {
		_ = d.store.Close()
	}
	d.log.Info("stopped", "instance", d.process.Name)
	return err
}

// drain turns readiness off, waits until the balancer has noticed, and then until the
// requests in flight have ended.
func (d *Daemon) drain(ctx context.Context) {
	d.shared.setLeaving()
	d.log.Info("leaving", "in_flight", d.admitter.InFlight())
	sleep(ctx, balancerNotice)
	select {
	case <-d.admitter.leave():
	case <-time.After(shutdownGrace):
		d.log.Info("cut off requests after the grace time", "in_flight", d.admitter.InFlight())
	case <-ctx.Done():
	}
}

// handOver passes the control duties on to another instance.
func (d *Daemon) handOver(ctx context.Context) {
	if d.host == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	d.host.TransferLeadership(ctx)
}

// serve starts the listeners.
func (d *Daemon) serve(ctx context.Context, g *errgroup.Group) ([]*fasthttp.Server, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	set := metrics.New(registry, d.metricsState)
	callers := caller.NewServer(ctx, caller.Options{
		Metrics:    set,
		Dispatcher: d.dispatcher,
		Admitter:   d.admitter,
		Intent:     d.shared.Intent,
		NewID:      d.newID,
		Log:        d.log.WithName("caller"),
	})
	operators := operator.NewServer(&operatorBackend{
		shared:     d.shared,
		host:       d.host,
		proposer:   d.proposer,
		dispatcher: d.dispatcher,
		admitter:   d.admitter,
		lines:      d.lines,
	}, d.secrets.operatorKeys())
	plan := []struct {
		address string
		server  *fasthttp.Server
	}{
		{d.process.Callers, callers},
		{d.process.Backends, backend.NewServer(d.shared)},
		{d.process.Operators, operators},
		{d.process.Platform, balancer.NewServer(d.shared.notReady, registry)},
	}
	var servers []*fasthttp.Server
	for _, p := range plan {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			return servers, eris.Wrapf(err, "daemon: listen on %s", p.address)
		}
		if p.address == d.process.Backends {
			l = d.traffic.backends.Listener(l)
		}
		if p.server == operators {
			l = d.secrets.operatorListener(l)
		}
		g.Go(func() error { return eris.Wrapf(p.server.Serve(l), "daemon: serve %s", p.address) })
		servers = append(servers, p.server)
	}
	l, err := net.Listen("tcp", d.process.Instances)
	if err != nil {
		return servers, eris.Wrapf(err, "daemon: listen on %s", d.process.Instances)
	}
	l = d.secrets.instanceListener(d.traffic.instances.Listener(l))
	peers := instance.NewServer(d.replica(), d.shared)
	g.Go(func() error { return peers.Serve(ctx, l) })
	return servers, nil
}

// replica returns this instance's replica, or a nil interface when it has none.
func (d *Daemon) replica() instance.Replica {
	if d.host == nil {
		return nil
	}
	return &hostReplica{Host: d.host, stamps: newStamper(d.process.Name)}
}

// hostReplica adds the leader's address to a host.
type hostReplica struct {
	*control.Host
	stamps *stamper
}

// Propose checks and stamps the command before it enters the log.
func (r *hostReplica) Propose(ctx context.Context, data []byte) (replica.Result, error) {
	data, refusal, err := r.stamps.admit(data)
	if err != nil {
		return replica.Result{}, err
	}
	if refusal != nil {
		return r.refuse(ctx, refusal)
	}
	return r.Host.Propose(ctx, data)
}

// refuse answers a change that this instance can't read, if it is the leader.
func (r *hostReplica) refuse(ctx context.Context, refusal *config.Result) (replica.Result, error) {
	s, err := r.Status(ctx)
	if err != nil {
		return replica.Result{}, err
	}
	if s.Role != consensus.RoleLeader {
		return replica.Result{}, consensus.ErrNotLeader
	}
	return replica.Result{Config: refusal}, nil
}

// Leader returns the address of the leader, or "".
func (r *hostReplica) Leader(ctx context.Context) string {
	s, err := r.Status(ctx)
	if err != nil {
		return ""
	}
	return s.LeaderAddress
}

// metricsState returns what the gauges show.
func (d *Daemon) metricsState() metrics.State {
	s := d.shared.status()
	state := metrics.State{
		InFlight:         d.admitter.InFlight(),
		ConfigVersion:    s.ConfigVersion,
		ConfigAgeSeconds: float64(s.ConfigAgeMs) / 1000,
		InstanceTraffic:  trafficState(&d.traffic.instances),
		BackendTraffic:   trafficState(&d.traffic.backends),
	}
	for _, b := range s.Servers {
		if !b.Leaving {
			state.BackendServers++
		}
	}
	for _, i := range s.Instances {
		if i.Alive {
			state.InstancesAlive++
		}
	}
	return state
}

const idBytes = 12

// newID returns a request id that no instance has used. It must not repeat after a restart,
// so it does not come from the seed.
func (d *Daemon) newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return d.process.Name + "-" + hex.EncodeToString(b[:])
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}

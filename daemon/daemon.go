// Package daemon builds an instance from its parts, runs its background tasks, and shuts them down in
// order.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/balancer"
	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/internal/listen"
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
	// readinessDelay is how long the instance still accepts callers after it has turned readiness
	// off, so that the load balancer notices first.
	readinessDelay = time.Second
	// gracePeriod bounds the wait for requests in flight at shutdown.
	gracePeriod = 10 * time.Minute
	// departureDelay is the time for the message that this instance has left to reach its peers
	// before the connections are closed.
	departureDelay = 100 * time.Millisecond
	// handOverTimeout bounds the wait for another instance to become the leader.
	handOverTimeout = time.Second
	// maxTraceLines is the number of log lines that are kept for operators.
	maxTraceLines = 20_000
)

// Daemon is one instance of the router.
type Daemon struct {
	process    settings.Process
	log        logr.Logger
	lines      *trace.Recorder
	secrets    *secrets
	dialer     instance.Dialer
	traffic    *traffic
	state      *instanceState
	host       *control.Host
	store      *storage.Log
	sender     *instance.ConsensusSender
	proposer   *instance.Proposer
	credits    *creditRecorder
	admitter   *admitter
	dispatcher *dispatch.Dispatcher
	// guards bound the clients of each listener.
	guards map[string]*connguard.Guard
}

// New builds the instance. On a control instance it also opens the data folder.
func New(p settings.Process, base logr.Logger) (*Daemon, error) {
	limitHeap(noRole, p.MemoryMB)
	lines := trace.NewRecorder(maxTraceLines, time.Now)
	log := lines.Logger(base)
	secrets, err := loadSecrets(p)
	if err != nil {
		return nil, err
	}
	traffic := &traffic{}
	dialer, err := instance.NewDialer(p.Instances, secrets.instanceCertificates(), &traffic.instances)
	if err != nil {
		return nil, err
	}
	d := &Daemon{process: p, log: log, lines: lines, secrets: secrets, dialer: dialer, traffic: traffic}
	d.guards = newGuards(clientLimits(noRole, p.MemoryMB), log)
	d.guards[callersListener].ReadBuffer = caller.MaxHeaderBytes
	d.guards[operatorsListener].HasTLS = p.TLS.Operators
	d.guards[instancesListener].HasTLS = p.TLS.Instances
	d.state = newInstanceState(p, uint64(time.Now().UnixNano()), log)
	d.proposer = instance.NewProposer(dialer, voterAddresses(p))
	d.credits = newCreditRecorder(p.Name, d.state.incarnation, d.proposer, log.WithName("credit"))
	d.admitter = newAdmitter(xxhash.Sum64String(p.Name), p.Naive, d.state.Config, log.WithName("admission"))
	d.state.gossip.exchangeUsage(d.admitter)
	d.dispatcher = dispatch.New(p.Name, p.DataCentre, d.state, d.proposer, d.credits, log)
	d.dispatcher.UsePeers(d.state.incarnation, d.state)
	d.admitter.forecast = d.forecast
	d.dispatcher.OnServed(d.admitter.served)
	d.dispatcher.UsePublisher(d.state.gossip)
	d.state.gossip.handleNotices(d.dispatcher)
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
	store, stored, err := control.OpenStorage(d.process.DataFolder, d.process.Name)
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
		OnView:  d.state.offerView,
		Log:     d.log.WithName("control"),
	}, stored)
	if err != nil {
		_ = store.Close()
		return err
	}
	d.sender.SetOnLost(d.host.ReportLost)
	identity := store.Identity()
	d.log.Info("opened the data folder", "folder", d.process.DataFolder, "disk", identity.Disk, "start", identity.Starts,
		"snapshot", stored.Snapshot.Index, "entries", len(stored.Entries), "cut_bytes", store.TruncatedBytes)
	return nil
}

// Run serves until ctx ends, then drains the instance and stops it.
func (d *Daemon) Run(ctx context.Context) error {
	// The background tasks run on after ctx ends, until the requests in flight have ended.
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	g, taskCtx := errgroup.WithContext(taskCtx)
	defer d.closeStore()
	listeners, err := d.serve(taskCtx, g)
	if err != nil {
		stopTasks()
		closeAll(listeners)
		_ = g.Wait()
		return err
	}
	for _, guard := range d.guards {
		g.Go(func() error { return guard.Run(taskCtx) })
	}
	peers := newPeerSync(d.state, d.host, d.dialer)
	g.Go(func() error { return peers.run(taskCtx) })
	g.Go(func() error { return d.credits.run(taskCtx) })
	g.Go(func() error { return d.admitter.runTicks(taskCtx) })
	g.Go(func() error { return d.runForecasts(taskCtx) })
	g.Go(func() error { return d.dispatcher.Run(taskCtx) })
	g.Go(func() error { return d.secrets.run(taskCtx, d.log.WithName("keys")) })
	if d.host != nil {
		g.Go(func() error { return d.host.Run(taskCtx) })
		placements := newPlacementLoop(d.state, d.host, d.log.WithName("placement"))
		g.Go(func() error { return placements.run(taskCtx) })
		g.Go(func() error { return d.sender.Run(taskCtx) })
		g.Go(func() error { return d.runMoves(taskCtx) })
	}
	d.log.Info("started", "instance", d.process.Name, "data_centre", d.process.DataCentre)
	select {
	case <-ctx.Done():
		d.drain(taskCtx)
		d.handOver(taskCtx)
		d.state.setLeft()
		sleep(taskCtx, departureDelay)
	case <-taskCtx.Done():
	}
	stopTasks()
	closeAll(listeners)
	err = g.Wait()
	d.log.Info("stopped", "instance", d.process.Name)
	return err
}

// closeStore closes the data folder, if there is one.
func (d *Daemon) closeStore() {
	if d.store != nil {
		_ = d.store.Close()
	}
}

// drain turns readiness off, waits until the load balancer has noticed, and then until the requests
// in flight have ended or the grace period is over.
func (d *Daemon) drain(ctx context.Context) {
	d.state.setLeaving()
	d.log.Info("leaving", "in_flight", d.admitter.InFlight())
	sleep(ctx, readinessDelay)
	select {
	case <-d.admitter.drain():
	case <-time.After(gracePeriod):
		d.log.Info("aborted requests after the grace period", "in_flight", d.admitter.InFlight())
	case <-ctx.Done():
	}
}

// handOver transfers the leadership of the control group to another instance if this instance is
// the leader.
func (d *Daemon) handOver(ctx context.Context) {
	if d.host == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	d.host.TransferLeadership(ctx)
}

// serve opens the listeners and starts their servers. It returns the HTTP listeners, also after an
// error.
func (d *Daemon) serve(ctx context.Context, g *errgroup.Group) ([]*httpListener, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	requestMetrics := metrics.New(registry, d.metricsState)
	metrics.RegisterClients(registry, func() []metrics.Clients { return clientsOf(d.guards) })
	callerOptions := caller.Options{
		Metrics:     requestMetrics,
		Dispatcher:  d.dispatcher,
		Admitter:    d.admitter,
		Config:      d.state.Config,
		HasConfig:   d.state.hasConfig,
		NewID:       d.newID,
		Relays:      d.newRelays(),
		Unconfirmed: d.state.whyUnconfirmed,
		Log:         d.log.WithName("caller"),
	}
	callers := caller.NewServer(ctx, callerOptions)
	operators := operator.NewServer(&operatorBackend{
		state:      d.state,
		host:       d.host,
		proposer:   d.proposer,
		dispatcher: d.dispatcher,
		admitter:   d.admitter,
		lines:      d.lines,
	}, d.secrets.operatorKeys())
	plans := []struct {
		name    string
		address string
		server  *fasthttp.Server
		cost    connguard.Cost
	}{
		{callersListener, d.process.Callers, callers, caller.Cost},
		{backendsListener, d.process.Backends, backend.NewServer(d.state), connguard.DecodedBody},
		{operatorsListener, d.process.Operators, operators, connguard.DecodedBody},
		{platformListener, d.process.Platform, balancer.NewServer(d.state.notReady, registry), connguard.DecodedBody},
	}
	var listeners []*httpListener
	for _, p := range plans {
		tcp, err := listen.TCP(p.address)
		if err != nil {
			return listeners, eris.Wrapf(err, "daemon: listen on %s", p.address)
		}
		// The guard is beneath TLS, as it acts on the socket.
		l := d.guards[p.name].Listener(tcp)
		switch p.name {
		case backendsListener:
			l = d.traffic.backends.Listener(l)
		case operatorsListener:
			l = d.secrets.operatorListener(l)
		}
		connguard.GuardFastHTTP(p.server, p.cost)
		h := newHTTPListener(p.server, l)
		g.Go(h.serve)
		listeners = append(listeners, h)
	}
	tcp, err := listen.TCP(d.process.Instances)
	if err != nil {
		return listeners, eris.Wrapf(err, "daemon: listen on %s", d.process.Instances)
	}
	l := d.secrets.instanceListener(d.traffic.instances.Listener(d.guards[instancesListener].Listener(tcp)))
	peers := instance.NewServer(d.replica(), d.state)
	peers.SetRelayHandler(caller.NewRelayHandler(ctx, callerOptions))
	g.Go(func() error { return peers.Serve(ctx, l) })
	return listeners, nil
}

// replica returns the replica of this instance, or a nil interface if it has none.
func (d *Daemon) replica() instance.Replica {
	if d.host == nil {
		return nil
	}
	return &hostReplica{Host: d.host, timestamps: newTimestamper(d.process.Name)}
}

// hostReplica serves the replica to other instances. It checks proposed commands, adds their
// timestamps, and knows the leader's address.
type hostReplica struct {
	*control.Host
	timestamps *timestamper
}

// Propose checks the command, adds a timestamp and proposes it.
func (r *hostReplica) Propose(ctx context.Context, data []byte) (replica.Result, error) {
	prepared, refusal, err := r.timestamps.prepare(data)
	if err != nil {
		return replica.Result{}, err
	}
	if refusal != nil {
		return r.refuse(ctx, refusal)
	}
	return r.Host.ProposePrepared(ctx, data, prepared)
}

// refuse returns the refusal of a configuration that this instance can't read. If this instance is
// not the leader, it returns consensus.ErrNotLeader instead.
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

// metricsState returns the values of the gauges.
func (d *Daemon) metricsState() metrics.State {
	s := d.state.status()
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

// newID returns a request id that no instance has used. Ids must not repeat after a restart, so they
// don't depend on the seed.
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

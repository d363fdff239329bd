package daemon

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/controller"
	"github.com/balsamlb/balsamlb/gateway"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/internal/build"
	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/internal/listen"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/metrics"
	"github.com/balsamlb/balsamlb/platform"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/balsamlb/balsamlb/upstream"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	// settingsCheckInterval is how often the settings file is checked for changes.
	settingsCheckInterval = time.Second
	// replaceAfter is how long a voter must be silent before a standby may replace it. It is short
	// because a new machine must be a full member 4 s after its start.
	replaceAfter = 2 * time.Second
)

// heapShares are the shares of a process's memory that are set as the memory limit of the Go runtime. At a gateway,
// the kernel's queues for callers need a part of the rest.
var heapShares = map[settings.Role]float64{noRole: 0.6, settings.RoleGateway: 0.6, settings.RoleController: 0.7}

// noRole stands for a Daemon, which does the work of all roles.
const noRole settings.Role = ""

// limitHeap sets the memory limit of the Go runtime for a process that may use some memory; 0 means no limit.
func limitHeap(role settings.Role, memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShares[role] * float64(memoryMB) * (1 << 20)))
	}
}

// member holds the parts that gateways and controllers have in common.
type member struct {
	path     string
	role     settings.Role
	settings settings.Member
	log      logr.Logger
	dialer   instance.Dialer
	mesh     *mesh.Mesh
	registry *prometheus.Registry
	// guards bound the clients of each listener.
	guards map[string]*connguard.Guard
}

func newMember(path string, role settings.Role, s settings.Member, controlAddress string, log logr.Logger) (*member, error) {
	limitHeap(role, s.MemoryMB)
	m := &member{path: path, role: role, settings: s, log: log, registry: prometheus.NewRegistry()}
	m.guards = m.newGuards()
	m.registry.MustRegister(collectors.NewGoCollector())
	metrics.RegisterBuild(m.registry, build.Name())
	var err error
	if m.dialer, err = instance.NewDialer(s.Instances, nil, &meter.Traffic{}); err != nil {
		return nil, err
	}
	m.mesh, err = mesh.New(mesh.Options{
		Name:           s.Name,
		DataCentre:     s.DataCentre,
		ControlAddress: controlAddress,
		Seeds:          s.Seeds,
		Dialer:         m.dialer,

		RoutingApplyTime: s.RoutingApplyTime,

		Decode: platform.DecodeDocument,
		Log:    log.WithName("mesh"),
	})
	if err != nil {
		return nil, err
	}
	metrics.RegisterDocument(m.registry, m.document)
	metrics.RegisterClients(m.registry, m.clients)
	metrics.RegisterDelivery(m.registry, func() metrics.Delivery { return deliveryOf(m.mesh.DeliveryStatus()) })
	return m, nil
}

// deliveryOf returns the state of the delivery of routing documents for the metrics.
func deliveryOf(s mesh.DeliveryStatus) metrics.Delivery {
	d := metrics.Delivery{BehindSeconds: s.BehindFor.Seconds(),
		Failures: make(map[string]uint64, len(s.Failures)), WholeBytes: s.WholeBytes, PatchBytes: s.PatchBytes}
	for reason, n := range s.Failures {
		d.Failures[string(reason)] = n
	}
	return d
}

// document returns how recent the routing document is, for metrics.
func (m *member) document() metrics.Document {
	c := m.mesh.RoutingConfirmation()
	age, isConfirmed := c.Age()
	return metrics.Document{
		Version: c.InForce, Newest: c.Newest, IsConfirmed: isConfirmed, AgeSeconds: age.Seconds(), By: c.By, IsExpected: c.IsExpected,
	}
}

// RunGateway runs a gateway until ctx ends, and then until its requests in flight have ended or the
// grace period is over.
func RunGateway(ctx context.Context, path string, s settings.Member, log logr.Logger) error {
	m, err := newMember(path, settings.RoleGateway, s, "", log)
	if err != nil {
		return err
	}
	servers := platform.NewServers(upstream.NewClient())
	gw := gateway.New(gateway.Options{
		Name:          s.Name,
		DataCentre:    s.DataCentre,
		ListenAddress: s.Callers,
		GracePeriod:   s.Grace,

		ShutdownDelay: gateway.DefaultShutdownDelay,

		Mesh:        m.mesh,
		HeaderCodec: platform.HeaderCodec{},
		Orders:      servers,
		Identify:    servers.Identify,

		RelayAddress: s.Advertise,
		Relayer:      instance.NewRelayer(m.dialer),

		Seed: xxhash.Sum64String(s.Name),
		Log:  log.WithName("gateway"),

		Registry: m.registry,

		RetryRatio:   s.RetryRatio,
		RetryReserve: s.RetryReserve,
		RetryWindow:  s.RetryWindow,

		RoutingApplyTime: s.RoutingApplyTime,

		MaxAnswerBytes: int64(s.MaxAnswerMB) << 20,
		Guard:          m.guards[callersListener],
	})
	servers.OnLeaving = gw.RecordLeaving
	listener, err := listen.TCP(s.Instances)
	if err != nil {
		return eris.Wrapf(err, "daemon: listen on %s", s.Instances)
	}
	relayServer := instance.NewServer(nil, nil)
	relayServer.SetRelayHandler(gw)
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	g, taskCtx := errgroup.WithContext(taskCtx)
	m.runCommon(taskCtx, g)
	serveHTTP(taskCtx, g, m.guards[readyListener], s.Ready, platform.NewReadyServer(gw.NotReady))
	g.Go(func() error { return relayServer.Serve(taskCtx, m.guards[instancesListener].Listener(listener)) })
	g.Go(func() error {
		defer stopTasks()
		runCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		context.AfterFunc(taskCtx, cancel)
		return gw.Run(runCtx)
	})
	log.Info("started", "instance", s.Name, "role", m.role, "build", build.Name(), "data_centre", s.DataCentre, "seeds", s.Seeds)
	err = g.Wait()
	log.Info("stopped", "instance", s.Name)
	return err
}

// RunController runs a controller until ctx ends, and then hands the leadership over.
func RunController(ctx context.Context, path string, s settings.Member, log logr.Logger) error {
	m, err := newMember(path, settings.RoleController, s, s.Advertise, log)
	if err != nil {
		return err
	}
	store, stored, err := control.OpenStorage(s.DataFolder, s.Name)
	if err != nil {
		return err
	}
	defer store.Close()
	c, err := controller.New(controller.Options{
		Name:             s.Name,
		Mesh:             m.mesh,
		Proposer:         instance.NewProposer(m.dialer, s.Seeds),
		Engines:          platform.NewServers(upstream.NewClient()),
		Usage:            m.mesh.AllUsage,
		Demand:           m.mesh.Demand,
		AnnounceInterval: s.AnnounceInterval,
		DataFolder:       s.DataFolder,
		RoutingApplyTime: s.RoutingApplyTime,
		Log:              log.WithName("controller"),
	})
	if err != nil {
		return err
	}
	delays := metrics.NewReplicaDelays(m.registry)
	host, sender, err := openHost(m, store, stored, c.Applied,
		control.Observers{LoopDelay: delays.LoopDelay, Sync: delays.Sync, InputWait: delays.InputWait})
	if err != nil {
		return err
	}
	c.SetHost(host)
	metrics.RegisterPlan(m.registry, func() metrics.PlanWork { return planWork(c) })
	metrics.RegisterLevels(m.registry, func() metrics.LevelWork { return levelWork(c) })
	metrics.RegisterElections(m.registry, func() metrics.Elections { return elections(host.Elections()) })
	metrics.RegisterController(m.registry, func() metrics.FeedWork { return metrics.FeedWork(m.mesh.FeedWork()) })
	listener, err := listen.TCP(s.Instances)
	if err != nil {
		return eris.Wrapf(err, "daemon: listen on %s", s.Instances)
	}
	log.Info("started", "instance", s.Name, "role", m.role, "build", build.Name(), "data_centre", s.DataCentre, "founding", s.IsFounding, "seeds", s.Seeds)
	err = m.runController(ctx, c, host, sender, listener)
	log.Info("stopped", "instance", s.Name)
	return err
}

// levelWork returns the levels of entries for their metrics.
func levelWork(c *controller.Controller) metrics.LevelWork {
	l := c.Levels()
	out := metrics.LevelWork{InForce: uint32(l.InForce), Supported: uint32(l.Supported)}
	for _, h := range l.Holds {
		out.HeldBy = append(out.HeldBy, h.Replica)
	}
	return out
}

// elections returns what a replica has seen of elections for its metrics.
func elections(e control.Elections) metrics.Elections {
	out := metrics.Elections{
		Term: e.Term, HasLeader: e.Leader != "", Campaigns: e.Campaigns, Elections: e.ElectionCounts.Elections,
		StepDowns: make(map[string]uint64),
	}
	for _, r := range consensus.StepDownReasons {
		out.StepDowns[r.String()] = e.StepDowns[r]
	}
	return out
}

// planWork returns the work of a controller's planner for its metrics.
func planWork(c *controller.Controller) metrics.PlanWork {
	w := c.PlanWork()
	out := metrics.PlanWork{Moves: w.Moves, Returns: w.Returns}
	for _, r := range w.Rooms {
		out.Rooms = append(out.Rooms, metrics.CentreRoom{
			Service: r.Service, DataCentre: r.DataCentre, Limit: string(r.Room.Limit),
			Room: r.Room.Drafts, Demand: r.Demand, Needed: r.Need,
		})
	}
	return out
}

// runController runs the background tasks of a controller until ctx ends, and then hands the leadership
// over.
func (m *member) runController(ctx context.Context, c *controller.Controller, host *control.Host, sender *instance.ConsensusSender, listener net.Listener) error {
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	g, taskCtx := errgroup.WithContext(taskCtx)
	server := instance.NewServer(&controllerReplica{Host: host, sender: sender}, nil)
	server.SetWatchSource(m.mesh)
	m.runCommon(taskCtx, g)
	g.Go(func() error { return host.Run(taskCtx) })
	g.Go(func() error { return sender.Run(taskCtx) })
	g.Go(func() error { return server.Serve(taskCtx, m.guards[instancesListener].Listener(listener)) })
	g.Go(func() error { return c.Run(taskCtx) })
	serveHTTP(taskCtx, g, m.guards[controlListener], m.settings.Control, platform.NewControlServer(c))
	g.Go(func() error {
		select {
		case <-ctx.Done():
			m.log.Info("leaving")
			handOverCtx, cancel := context.WithTimeout(taskCtx, handOverTimeout)
			defer cancel()
			host.TransferLeadership(handOverCtx)
			stopTasks()
		case <-taskCtx.Done():
		}
		return nil
	})
	return g.Wait()
}

// openHost creates the replica and the sender of its messages. Replicas are identified by their
// addresses, since the settings state only the addresses of the seeds.
func openHost(m *member, store *storage.Log, stored storage.Stored, applied func(routing.Publication), observers control.Observers) (*control.Host, *instance.ConsensusSender, error) {
	s := m.settings
	founders := slices.Sorted(slices.Values(s.Seeds))
	sender := instance.NewConsensusSender(m.dialer)
	for _, f := range founders {
		if f != s.Advertise {
			sender.Reach(f, f)
		}
	}
	host, err := control.NewHost(control.Options{
		ID:           s.Advertise,
		Address:      s.Advertise,
		Voters:       founders,
		Size:         2*s.Tolerate + 1,
		JoinOnly:     !s.IsFounding || !slices.Contains(founders, s.Advertise),
		ReplaceAfter: replaceAfter,
		Seed:         xxhash.Sum64String(s.Advertise),
		Storage:      store,
		Sender:       sender,
		OnView:       func(replica.View) {},
		OnRouting:    applied,
		Observers:    observers,
		Log:          m.log.WithName("control"),
	}, stored)
	if err != nil {
		return nil, nil, err
	}
	sender.SetOnLost(host.ReportLost)
	return host, sender, nil
}

// controllerReplica serves the replica to other instances.
type controllerReplica struct {
	*control.Host
	sender *instance.ConsensusSender
}

// Leader returns the address of the leader, or "".
func (p *controllerReplica) Leader(ctx context.Context) string {
	s, err := p.Status(ctx)
	if err != nil {
		return ""
	}
	return s.LeaderAddress
}

// runCommon starts the background tasks that gateways and controllers share.
func (m *member) runCommon(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return m.mesh.Run(ctx) })
	g.Go(func() error { return m.runReload(ctx) })
	for _, guard := range m.guards {
		g.Go(func() error { return guard.Run(ctx) })
	}
	if m.settings.Metrics != "" {
		serveHTTP(ctx, g, m.guards[metricsListener], m.settings.Metrics, newMonitoringServer(m.registry, memberQuarantine{m.mesh.CrashEvidence(), m.log}))
	}
}

// runReload reads the settings again on SIGHUP and at every settingsCheckInterval, and applies them if
// the file has changed. Only the seeds can change while the process runs.
func (m *member) runReload(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(m.path) // an unreadable file is reported at the next check
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			m.log.Info("reloading the settings", "why", "SIGHUP")
		case <-ticker.C:
		}
		data, err := os.ReadFile(m.path)
		if err != nil {
			m.log.Info("could not read the settings", "reason", err.Error())
			continue
		}
		if string(data) == string(last) {
			continue
		}
		last = data
		s, err := settings.ParseMember(m.path, data, m.role)
		if err != nil {
			m.log.Info("ignoring invalid settings", "reason", err.Error())
			continue
		}
		m.log.Info("applied changed settings", "seeds", s.Seeds)
		m.mesh.SetSeeds(s.Seeds)
	}
}

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

	"github.com/balsamlb/balsamlb/balancer"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/controller"
	"github.com/balsamlb/balsamlb/gateway"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/mesh"
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
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	// settingsInterval is how often the settings file is looked at for changes.
	settingsInterval = time.Second
	// heapShare is the part of the process's memory that the heap is kept under.
	heapShare = 0.7
	// replaceAfter is after how long a standby may take the place of a silent voter. A new
	// machine must be a full member 4 s after its start.
	replaceAfter = 2 * time.Second
)

// member holds what gateways and controllers have in common.
type member struct {
	path     string
	role     settings.Role
	settings settings.Member
	log      logr.Logger
	dialer   instance.Dialer
	mesh     *mesh.Mesh
	registry *prometheus.Registry
}

func newMember(path string, role settings.Role, s settings.Member, controlAddress string, log logr.Logger) (*member, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB) * (1 << 20)))
	}
	m := &member{path: path, role: role, settings: s, log: log, registry: prometheus.NewRegistry()}
	m.registry.MustRegister(collectors.NewGoCollector())
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
		Decode:         platform.DecodeDocument,
		Log:            log.WithName("mesh"),
	})
	return m, err
}

// RunGateway runs a gateway until ctx ends.
func RunGateway(ctx context.Context, path string, s settings.Member, log logr.Logger) error {
	m, err := newMember(path, settings.RoleGateway, s, "", log)
	if err != nil {
		return err
	}
	gw := gateway.New(gateway.Options{
		Name:          s.Name,
		DataCentre:    s.DataCentre,
		ListenAddress: s.Callers,
		GracePeriod:   s.Grace,

		ShutdownDelay: gateway.DefaultShutdownDelay,

		Mesh:        m.mesh,
		HeaderCodec: platform.Dialect{},
		Orders:      platform.NewServers(upstream.NewClient()),
		Seed:        xxhash.Sum64String(s.Name),
		Log:         log.WithName("gateway"),

		Registry: m.registry,

		RetryRatio:   s.RetryRatio,
		RetryReserve: s.RetryReserve,
	})
	dutyCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, dutyCtx := errgroup.WithContext(dutyCtx)
	m.runCommon(dutyCtx, g)
	serveHTTP(dutyCtx, g, s.Ready, platform.NewReadyServer(gw.NotReady))
	g.Go(func() error {
		defer stop()
		runCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		context.AfterFunc(dutyCtx, cancel)
		return gw.Run(runCtx)
	})
	log.Info("started", "instance", s.Name, "role", m.role, "data_centre", s.DataCentre, "seeds", s.Seeds)
	err = g.Wait()
	log.Info("stopped", "instance", s.Name)
	return err
}

// RunController runs a controller until ctx ends.
func RunController(ctx context.Context, path string, s settings.Member, log logr.Logger) error {
	m, err := newMember(path, settings.RoleController, s, s.Instances, log)
	if err != nil {
		return err
	}
	store, stored, err := storage.Open(storage.Options{Folder: s.DataFolder, Instance: s.Name})
	if err != nil {
		return err
	}
	defer store.Close()
	c, err := controller.New(controller.Options{
		Name:             s.Name,
		Mesh:             m.mesh,
		Proposer:         instance.NewProposer(m.dialer, s.Seeds),
		Engines:          platform.NewServers(upstream.NewClient()),
		AnnounceInterval: s.AnnounceInterval,
		DataFolder:       s.DataFolder,
		Log:              log.WithName("controller"),
	})
	if err != nil {
		return err
	}
	host, sender, err := openHost(m, store, stored, c.Applied)
	if err != nil {
		return err
	}
	c.SetHost(host)
	listener, err := net.Listen("tcp", s.Instances)
	if err != nil {
		return eris.Wrapf(err, "daemon: listen on %s", s.Instances)
	}
	log.Info("started", "instance", s.Name, "role", m.role, "data_centre", s.DataCentre, "founding", s.IsFounding, "seeds", s.Seeds)
	err = m.runController(ctx, c, host, sender, listener)
	log.Info("stopped", "instance", s.Name)
	return err
}

// runController runs the duties of a controller until ctx ends, and hands the leadership over.
func (m *member) runController(ctx context.Context, c *controller.Controller, host *control.Host, sender *instance.ConsensusSender, listener net.Listener) error {
	dutyCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, dutyCtx := errgroup.WithContext(dutyCtx)
	server := instance.NewServer(&replicaPort{Host: host, sender: sender}, nil)
	server.ServeWatches(m.mesh)
	m.runCommon(dutyCtx, g)
	g.Go(func() error { return host.Run(dutyCtx) })
	g.Go(func() error { return sender.Run(dutyCtx) })
	g.Go(func() error { return server.Serve(dutyCtx, listener) })
	g.Go(func() error { return c.Run(dutyCtx) })
	serveHTTP(dutyCtx, g, m.settings.Control, platform.NewControlServer(c))
	g.Go(func() error {
		select {
		case <-ctx.Done():
			m.log.Info("leaving")
			handOver, cancel := context.WithTimeout(dutyCtx, handOverTime)
			defer cancel()
			host.TransferLeadership(handOver)
			stop()
		case <-dutyCtx.Done():
		}
		return nil
	})
	return g.Wait()
}

// openHost makes the replica. Control instances are named by their addresses, since nothing
// else is known of the seeds.
func openHost(m *member, store *storage.Log, stored storage.Stored, applied func(routing.Publication)) (*control.Host, *instance.ConsensusSender, error) {
	s := m.settings
	founders := slices.Sorted(slices.Values(s.Seeds))
	sender := instance.NewConsensusSender(m.dialer)
	for _, f := range founders {
		if f != s.Instances {
			sender.Reach(f, f)
		}
	}
	host, err := control.NewHost(control.Options{
		ID:           s.Instances,
		Address:      s.Instances,
		Voters:       founders,
		Size:         2*s.Tolerate + 1,
		JoinOnly:     !s.IsFounding || !slices.Contains(founders, s.Instances),
		ReplaceAfter: replaceAfter,
		Seed:         xxhash.Sum64String(s.Instances),
		Storage:      store,
		Sender:       sender,
		OnView:       func(replica.View) {},
		OnRouting:    applied,
		Log:          m.log.WithName("control"),
	}, stored)
	return host, sender, err
}

// replicaPort answers other instances for the replica.
type replicaPort struct {
	*control.Host
	sender *instance.ConsensusSender
}

// Leader returns the address of the leader, or "".
func (p *replicaPort) Leader(ctx context.Context) string {
	s, err := p.Status(ctx)
	if err != nil {
		return ""
	}
	return s.LeaderAddress
}

// runCommon starts the duties of every member.
func (m *member) runCommon(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return m.mesh.Run(ctx) })
	g.Go(func() error { return m.runReload(ctx) })
	if m.settings.Metrics != "" {
		serveHTTP(ctx, g, m.settings.Metrics, balancer.NewServer(func() string { return "" }, m.registry))
	}
}

// runReload reads the settings again on SIGHUP and when the file has changed. Only the seeds
// can change while the process runs.
func (m *member) runReload(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(m.path) // a file that can't be read is reported at the next look
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			m.log.Info("read the settings again", "why", "SIGHUP")
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
			m.log.Info("the changed settings are not used", "reason", err.Error())
			continue
		}
		m.log.Info("took over changed settings", "seeds", s.Seeds)
		m.mesh.Reseed(s.Seeds)
	}
}

// serveHTTP serves until ctx ends.
func serveHTTP(ctx context.Context, g *errgroup.Group, address string, server *fasthttp.Server) {
	g.Go(func() error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "daemon: listen on %s", address)
		}
		return eris.Wrapf(server.Serve(listener), "daemon: serve %s", address)
	})
	g.Go(func() error {
		<-ctx.Done()
		return server.Shutdown()
	})
}

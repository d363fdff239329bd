package daemon

import (
	"cmp"
	"context"

	"github.com/balsamlb/balsamlb/intake"
	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/internal/listen"
	"github.com/balsamlb/balsamlb/metrics"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// The listeners of a gateway or a controller.
const (
	callersListener   = "callers"
	readyListener     = "ready"
	controlListener   = "control"
	metricsListener   = "metrics"
	instancesListener = "instances"
)

// clientShare is what the clients of a listener may take of their process: parts of its memory and of its
// descriptors.
type clientShare struct{ memory, files float64 }

// clientShares are the shares of the listeners of each role. The rest of the memory is for what a process knows and
// for garbage, the rest of the descriptors for connections to others.
var clientShares = map[settings.Role]map[string]clientShare{
	settings.RoleGateway: {
		callersListener:   {0, 1. / 2}, // the memory is a setting
		readyListener:     {0.03, 1. / 32},
		metricsListener:   {0.03, 1. / 32},
		instancesListener: {0.08, 1. / 8},
	},
	settings.RoleController: {
		controlListener:   {0.28, 1. / 2},
		metricsListener:   {0.03, 1. / 32},
		instancesListener: {0.12, 1. / 4},
	},
}

// newGuards returns the guards of the listeners of this role.
func (m *member) newGuards() map[string]*connguard.Guard {
	guards := make(map[string]*connguard.Guard)
	files, memoryMB := float64(listen.MaxFiles()), cmp.Or(m.settings.MemoryMB, listen.MachineMemoryMB())
	for name, share := range clientShares[m.role] {
		connections := int(share.files * files)
		if name == callersListener {
			share.memory = m.settings.CallersMemory
			connections = cmp.Or(m.settings.CallersConnections, connections)
		}
		guards[name] = connguard.New(connguard.Options{
			Name: name,
			Limits: intake.Limits{
				Bytes:       int64(share.memory * float64(memoryMB) * (1 << 20)),
				Connections: connections,
			},
			KeepsBuffers: name == controlListener || name == instancesListener,
			HasCalls:     name == instancesListener,
			Log:          m.log.WithName("clients"),
		})
	}
	return guards
}

// clients returns the state of the clients' connections for their metrics.
func (m *member) clients() []metrics.Clients {
	var out []metrics.Clients
	for _, g := range m.guards {
		s := g.Status()
		out = append(out, metrics.Clients{Listener: g.Name, Connections: s.Connections, Bytes: s.Bytes, Closed: s.Closed})
	}
	return out
}

// serveHTTP listens on the address and serves until ctx ends.
func serveHTTP(ctx context.Context, g *errgroup.Group, guard *connguard.Guard, address string, server *fasthttp.Server) {
	connguard.GuardFastHTTP(server)
	g.Go(func() error {
		listener, err := listen.TCP(address)
		if err != nil {
			return eris.Wrapf(err, "daemon: listen on %s", address)
		}
		h := newHTTPListener(server, guard.Listener(listener))
		g.Go(func() error {
			<-ctx.Done()
			return h.close()
		})
		return h.serve()
	})
}

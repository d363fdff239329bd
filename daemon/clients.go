package daemon

import (
	"cmp"
	"context"

	"github.com/balsamlb/balsamlb/intake"
	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/internal/listen"
	"github.com/balsamlb/balsamlb/metrics"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// The listeners of all roles.
const (
	callersListener   = "callers"
	backendsListener  = "backends"
	operatorsListener = "operators"
	platformListener  = "platform"
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
	noRole: {
		callersListener:   {0.32, 3. / 8},
		backendsListener:  {0.04, 1. / 4},
		operatorsListener: {0.16, 1. / 16},
		platformListener:  {0.03, 1. / 32},
		instancesListener: {0.08, 1. / 8},
	},
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
	limits := clientLimits(m.role, m.settings.MemoryMB)
	if callers, ok := limits[callersListener]; ok {
		limits[callersListener] = intake.Limits{
			Bytes:       partOfMemory(m.settings.CallersMemory, m.settings.MemoryMB),
			Connections: cmp.Or(m.settings.CallersConnections, callers.Connections),
		}
	}
	return newGuards(limits, m.log)
}

// clientLimits returns the limits of the listeners of a role. memoryMB is the memory of the process; 0 means that of the
// machine.
func clientLimits(role settings.Role, memoryMB int) map[string]intake.Limits {
	limits := make(map[string]intake.Limits)
	files := float64(listen.MaxFiles())
	for name, share := range clientShares[role] {
		limits[name] = intake.Limits{Bytes: partOfMemory(share.memory, memoryMB), Connections: int(share.files * files)}
	}
	return limits
}

// newGuards returns a guard for each listener.
func newGuards(limits map[string]intake.Limits, log logr.Logger) map[string]*connguard.Guard {
	guards := make(map[string]*connguard.Guard)
	for name, l := range limits {
		guards[name] = connguard.New(connguard.Options{
			Name:         name,
			Limits:       l,
			KeepsBuffers: name == controlListener || name == operatorsListener || name == instancesListener,
			HasCalls:     name == instancesListener,
			Log:          log.WithName("clients"),
		})
	}
	return guards
}

// partOfMemory returns a part in bytes of a memory, or of that of the machine if it is 0.
func partOfMemory(part float64, memoryMB int) int64 {
	return int64(part * float64(cmp.Or(memoryMB, listen.MachineMemoryMB())) * (1 << 20))
}

// clients returns the state of the clients' connections for their metrics.
func (m *member) clients() []metrics.Clients { return clientsOf(m.guards) }

func clientsOf(guards map[string]*connguard.Guard) []metrics.Clients {
	var out []metrics.Clients
	for _, g := range guards {
		s := g.Status()
		out = append(out, metrics.Clients{Listener: g.Name, Connections: s.Connections, Bytes: s.Bytes, Closed: s.Closed})
	}
	return out
}

// serveHTTP listens on the address and serves until ctx ends.
func serveHTTP(ctx context.Context, g *errgroup.Group, guard *connguard.Guard, address string, server *fasthttp.Server) {
	connguard.GuardFastHTTP(server, connguard.DecodedBody)
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

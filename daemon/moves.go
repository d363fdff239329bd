package daemon

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/drain"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/balsamlb/balsamlb/replica"
)

// moveInterval is how often the leader looks whether a move may go on.
const moveInterval = time.Second

// moves returns the progress of all moves, by name.
func (s *shared) moves(now time.Time) []drain.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := drain.Fleet{Departed: make(map[string]time.Time)}
	for name, d := range s.view.Drains {
		f.Departed[name] = d.At
	}
	for _, l := range s.registry.Leases(now) {
		delete(f.Departed, l.Server.Name)
		f.Servers = append(f.Servers, drain.Server{
			BackendServer: l.Server,
			DrainedAt:     s.view.Drains[l.Server.Name].At,
			InFlight:      l.Server.Load.Running + l.Server.Load.Queued,
		})
	}
	var out []drain.Progress
	for _, m := range s.intent.Moves {
		service := s.intent.Services[m.Service]
		out = append(out, drain.Evaluate(now, drain.Move{
			Name: m.Name, Service: m.Service, Model: service.Model, Layers: service.Layers,
			DataCentre: m.DataCentre, Servers: m.Servers, Start: m.Start, Date: m.Date,
		}, f))
	}
	slices.SortFunc(out, func(a, b drain.Progress) int { return cmp.Compare(a.Move.Name, b.Move.Name) })
	return out
}

// runMoves drains what the moves are due to drain, while this instance leads the control
// group, until ctx ends.
func (d *Daemon) runMoves(ctx context.Context) error {
	log := d.log.WithName("move")
	for {
		pauseFor(ctx, moveInterval)
		if ctx.Err() != nil {
			return nil
		}
		status, err := d.host.Status(ctx)
		if err != nil || status.Role != consensus.RoleLeader {
			continue
		}
		for _, p := range d.shared.moves(time.Now()) {
			if p.Next == "" {
				continue
			}
			log.Info("drains a server for a move", "move", p.Move.Name, "server", p.Next, "drained", p.Drained, "total", p.Total)
			c := replica.Command{Drain: &replica.Drain{Server: p.Next, On: true, At: time.Now()}}
			if _, err := d.proposer.Propose(ctx, c); err != nil {
				log.Info("could not drain a server", "server", p.Next, "err", err.Error())
			}
		}
	}
}

// Moves returns the progress of the moves.
func (b *operatorBackend) Moves() []operator.MoveStatus {
	out := []operator.MoveStatus{}
	for _, p := range b.shared.moves(time.Now()) {
		out = append(out, operator.MoveStatus{
			Name: p.Move.Name, Service: p.Move.Service, Date: p.Move.Date,
			Total: p.Total, Drained: p.Drained, Done: p.Done, Forecast: p.Forecast, Risk: string(p.Risk),
		})
	}
	return out
}

// Quarantine returns the suspects and the requests in quarantine.
func (b *operatorBackend) Quarantine() []operator.QuarantineEntry {
	out := []operator.QuarantineEntry{}
	for _, e := range b.dispatcher.Quarantined() {
		out = append(out, operator.QuarantineEntry{
			Fingerprint: e.Fingerprint.String(), Quarantined: e.Quarantined, Servers: e.Servers, Expires: e.Expires,
		})
	}
	return out
}

// Release ends the quarantine of a request.
func (b *operatorBackend) Release(fingerprint string) bool {
	f, err := strconv.ParseUint(fingerprint, 16, 64)
	if err != nil {
		return false
	}
	b.dispatcher.Release(quarantine.Fingerprint(f))
	return true
}

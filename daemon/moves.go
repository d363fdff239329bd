package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/drain"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/replica"
)

// moveInterval is how often the leader checks whether a move may proceed.
const moveInterval = time.Second

// moveProgress returns the progress of all moves, sorted by name.
func (s *instanceState) moveProgress(now time.Time) []drain.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := drain.Fleet{Departed: make(map[string]drain.Departure)}
	for name, d := range s.view.Drains {
		f.Departed[name] = drain.Departure{DrainedAt: d.At, Move: d.Move}
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
	for _, m := range s.config.Moves {
		service := s.config.Services[m.Service]
		out = append(out, drain.Evaluate(now, drain.Move{
			Name: m.Name, Service: m.Service, Model: service.Model, Layers: service.Layers,
			DataCentre: m.DataCentre, Servers: m.Servers, Start: m.Start, Date: m.Date,
		}, f))
	}
	slices.SortFunc(out, func(a, b drain.Progress) int { return cmp.Compare(a.Move.Name, b.Move.Name) })
	return out
}

// runMoves drains the servers that the moves have scheduled next, while this instance leads the
// control group, until ctx ends.
func (d *Daemon) runMoves(ctx context.Context) error {
	log := d.log.WithName("move")
	for {
		sleepFor(ctx, moveInterval)
		if ctx.Err() != nil {
			return nil
		}
		status, err := d.host.Status(ctx)
		if err != nil || !status.Lease {
			continue
		}
		for _, p := range d.state.moveProgress(time.Now()) {
			if p.Next == "" {
				continue
			}
			log.Info("draining a server for a move", "move", p.Move.Name, "server", p.Next, "drained", p.Drained, "total", p.Total)
			c := replica.Command{Drain: &replica.Drain{Server: p.Next, On: true, At: time.Now(), Move: p.Move.Name}}
			if _, err := d.proposer.Propose(ctx, c); err != nil {
				log.Info("could not drain a server", "server", p.Next, "err", err.Error())
			}
		}
	}
}

// Moves returns the progress of all moves.
func (b *operatorBackend) Moves() []operator.MoveStatus {
	out := []operator.MoveStatus{}
	for _, p := range b.state.moveProgress(time.Now()) {
		out = append(out, operator.MoveStatus{
			Name: p.Move.Name, Service: p.Move.Service, Date: p.Move.Date,
			Total: p.Total, Drained: p.Drained, Done: p.Done, Forecast: p.Forecast, Risk: string(p.Risk),
		})
	}
	return out
}

// Quarantine returns the suspect requests and those in quarantine.
func (b *operatorBackend) Quarantine() []operator.QuarantineEntry {
	return quarantineEntries(b.dispatcher.Quarantined())
}

// Release ends the quarantine of the request with the fingerprint. It reports false if the fingerprint
// is not hexadecimal.
func (b *operatorBackend) Release(fingerprint string) bool {
	f, ok := parseFingerprint(fingerprint)
	if ok {
		b.dispatcher.Release(f)
	}
	return ok
}

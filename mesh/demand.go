package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
)

// RankDemand is what callers ask of a service with requests of one rank.
type RankDemand struct {
	Service string
	// Rank orders the requests; 0 is the most urgent.
	Rank int
	// Running and Waiting count the requests that run and that wait to run.
	Running int
	Waiting int
	// Refused counts the requests that were refused for lack of room lately.
	Refused int
	// Arriving is the number of requests that arrive within the time until other instances hear of one.
	Arriving float64
}

// rankKey identifies a kind of demand.
type rankKey struct {
	service string
	rank    int
}

func (d RankDemand) key() rankKey { return rankKey{d.Service, d.Rank} }

// total returns the number of requests that want to run.
func (d RankDemand) total() int { return d.Running + d.Waiting + d.Refused }

// add adds sign times another demand of the same key. No count falls below 0.
func (d *RankDemand) add(o RankDemand, sign int) {
	d.Running = max(0, d.Running+sign*o.Running)
	d.Waiting = max(0, d.Waiting+sign*o.Waiting)
	d.Refused = max(0, d.Refused+sign*o.Refused)
	d.Arriving = max(0, d.Arriving+float64(sign)*o.Arriving)
}

// PeerDemand is what the callers of the other gateways of this data centre ask for.
type PeerDemand struct {
	// At is when it was received; zero means never.
	At     time.Time
	Demand []RankDemand
}

// SetLocalDemand sets the function that returns the demand at this instance, which is sent to the control
// instances. It must be called before Run.
func (m *Mesh) SetLocalDemand(demand func() []RankDemand) { m.localDemand = demand }

// PeerDemand returns the demand at the other gateways of this data centre, as the control instance reports it
// that was heard last.
func (m *Mesh) PeerDemand() PeerDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerDemand
}

// Demand returns the number of requests for a service that callers want to run, by the data centre of the
// gateways that report it. Only a control instance knows it.
func (m *Mesh) Demand(service string) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]float64)
	for _, r := range m.watcherReports {
		for _, d := range r.demand {
			if d.Service == service {
				out[r.relay.dataCentre] += float64(d.total())
			}
		}
	}
	return out
}

// reportedDemand returns what a watcher's callers ask for. A watcher of a release that reports no demand is taken to
// have that of its running drafts, of the most urgent rank. The caller holds the lock.
func (m *Mesh) reportedDemand(req *wire.WatchRequest) []RankDemand {
	if len(req.Demand) > 0 {
		return demandListFromWire(req.Demand)
	}
	running := make(map[string]int)
	for _, u := range req.Running {
		if a, ok := m.directory.Get(u.Server); ok && u.Heads > 0 {
			running[a.Service] += int(u.Heads)
		}
	}
	var out []RankDemand
	for service, n := range running {
		out = append(out, RankDemand{Service: service, Running: n})
	}
	return out
}

// demandHere sums the demand at the gateways of this instance's data centre. The caller holds the lock.
func (m *Mesh) demandHere() []*wire.RankDemand {
	sums := make(map[rankKey]RankDemand)
	for _, r := range m.watcherReports {
		if r.relay.dataCentre != m.options.DataCentre {
			continue
		}
		for _, d := range r.demand {
			sum := sums[d.key()]
			sum.Service, sum.Rank = d.Service, d.Rank
			sum.add(d, 1)
			sums[d.key()] = sum
		}
	}
	out := make([]*wire.RankDemand, 0, len(sums))
	for _, d := range sums {
		out = append(out, demandToWire(d))
	}
	slices.SortFunc(out, func(a, b *wire.RankDemand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return out
}

// updatePeerDemand replaces the demand at the other gateways, if the heartbeat is of a control instance of this
// data centre. The caller holds the lock.
func (m *Mesh) updatePeerDemand(now time.Time, b *wire.WatchBeat) {
	if b.DataCentre != m.options.DataCentre {
		return
	}
	if b.LeavesOutUsage || !b.HasDemand {
		// Nothing has changed, or it was sent within usageInterval.
		if !m.peerDemand.At.IsZero() {
			m.peerDemand.At = now
		}
		return
	}
	demand := make([]RankDemand, 0, len(b.Demand))
	for _, d := range b.Demand {
		demand = append(demand, demandFromWire(d))
	}
	m.peerDemand = PeerDemand{At: now, Demand: demand}
}

// subtractDemand subtracts a watcher's own demand from that of all watchers.
func subtractDemand(all []*wire.RankDemand, own []RankDemand) []*wire.RankDemand {
	for i, w := range all {
		d := demandFromWire(w)
		for _, o := range own {
			if o.key() == d.key() {
				d.add(o, -1)
			}
		}
		all[i] = demandToWire(d)
	}
	return all
}

func demandListFromWire(ws []*wire.RankDemand) []RankDemand {
	out := make([]RankDemand, 0, len(ws))
	for _, w := range ws {
		out = append(out, demandFromWire(w))
	}
	return out
}

func demandFromWire(w *wire.RankDemand) RankDemand {
	return RankDemand{
		Service: w.Service, Rank: int(w.Rank), Running: int(w.Running), Waiting: int(w.Waiting), Refused: int(w.Refused),
		Arriving: float64(w.Arriving),
	}
}

func demandListToWire(demand []RankDemand) []*wire.RankDemand {
	out := make([]*wire.RankDemand, 0, len(demand))
	for _, d := range demand {
		out = append(out, demandToWire(d))
	}
	return out
}

func demandToWire(d RankDemand) *wire.RankDemand {
	return &wire.RankDemand{
		Service: d.Service, Rank: uint32(max(0, d.Rank)), Running: uint32(max(0, d.Running)), Waiting: uint32(max(0, d.Waiting)),
		Refused: uint32(max(0, d.Refused)), Arriving: float32(d.Arriving),
	}
}

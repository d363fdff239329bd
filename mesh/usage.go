package mesh

import (
	"slices"

	"github.com/balsamlb/balsamlb/instance/wire"
)

// Usage is work that passes through one backend server.
type Usage struct {
	Server string
	// Drafts counts all drafts, Heads those whose path the server begins.
	Drafts int
	Heads  int
	// TokenLayers is the predicted memory of the drafts, in tokens times layers.
	TokenLayers int
}

// use is what one watcher has told.
type use struct {
	running []Usage
	faulty  []string
}

// SetLocalUsage takes the function that returns this instance's usage, which the watches pass on.
// It is called before Run.
func (m *Mesh) SetLocalUsage(running func() []Usage) { m.running = running }

// SetUnresponsive takes the servers that don't answer this instance, and tells the control
// instances at once.
func (m *Mesh) SetUnresponsive(faulty []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Equal(m.faulty, faulty) {
		return
	}
	m.faulty = faulty
	close(m.faultyChanged)
	m.faultyChanged = make(chan struct{})
}

// Gateways returns how many gateways there are, as far as is known; at least 1.
func (m *Mesh) Gateways() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, g := range m.gateways {
		n = max(n, g)
	}
	return n
}

// PeerUsage returns what the other instances use of each backend server; it is not to be changed.
func (m *Mesh) PeerUsage() map[string]Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.merged
}

// mergeOthers puts together what the control instances tell. Each tells the usage of all its
// watchers; the largest sum is taken, since some hear only a part. The caller holds the lock.
func (m *Mesh) mergeOthers() {
	sums := make(map[string]Usage)
	for _, told := range m.others {
		for _, u := range told {
			if u.TokenLayers >= sums[u.Server].TokenLayers {
				sums[u.Server] = u
			}
		}
	}
	m.merged = sums
}

// takesUsageOf reports whether the others' usage is taken from a control instance: from those
// of this data centre, whose traffic is cheap, else from all. The caller holds the lock.
func (m *Mesh) takesUsageOf(address string) bool {
	if m.centres[address] == m.options.DataCentre {
		return true
	}
	for _, centre := range m.centres {
		if centre == m.options.DataCentre {
			return false
		}
	}
	return true
}

// suspicions is how many gateways must get no answer from a server before the others avoid
// it; one alone may itself be cut off. Fewer gateways than that suspect on one word.
const suspicions = 2

// ownSuspects returns the servers that don't answer several of this instance's watchers. The
// caller holds the lock.
func (m *Mesh) ownSuspects() []string {
	counts := make(map[string]int)
	for _, u := range m.usage {
		for _, id := range u.faulty {
			counts[id]++
		}
	}
	var out []string
	for id, n := range counts {
		if n >= min(suspicions, len(m.usage)) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// allSuspects are those of this control instance and of the others. The caller holds the lock.
func (m *Mesh) allSuspects() map[string]bool {
	out := make(map[string]bool)
	for _, id := range m.ownSuspects() {
		out[id] = true
	}
	for _, told := range m.suspects {
		for _, id := range told {
			out[id] = true
		}
	}
	return out
}

// setUsage replaces what a watcher has told; nil forgets it. The sums follow each change, so
// that a beat costs no more with many watchers. The caller holds the lock.
func (m *Mesh) setUsage(name string, u *use) {
	if old := m.usage[name]; old != nil {
		m.addToTotals(old.running, -1)
	}
	if u == nil {
		delete(m.usage, name)
		return
	}
	m.usage[name] = u
	m.addToTotals(u.running, 1)
}

// addToTotals adds usage to the sums, or takes it off with sign -1.
func (m *Mesh) addToTotals(running []Usage, sign int) {
	for _, r := range running {
		s := m.totals[r.Server]
		s.Server = r.Server
		s.Drafts += sign * r.Drafts
		s.Heads += sign * r.Heads
		s.TokenLayers += sign * r.TokenLayers
		if s.Drafts == 0 && s.Heads == 0 && s.TokenLayers == 0 {
			delete(m.totals, r.Server)
			continue
		}
		m.totals[r.Server] = s
	}
}

// sumOthers returns the usage of all watchers but one. The caller holds the lock.
func (m *Mesh) sumOthers(without string) []*wire.DraftUse {
	own := make(map[string]Usage)
	if u := m.usage[without]; u != nil {
		for _, r := range u.running {
			own[r.Server] = r
		}
	}
	out := make([]*wire.DraftUse, 0, len(m.totals))
	for id, total := range m.totals {
		mine := own[id]
		other := Usage{
			Server:      id,
			Drafts:      total.Drafts - mine.Drafts,
			Heads:       total.Heads - mine.Heads,
			TokenLayers: total.TokenLayers - mine.TokenLayers,
		}
		if other.Drafts > 0 || other.TokenLayers > 0 {
			out = append(out, useToWire(other))
		}
	}
	return out
}

func usesFromWire(ws []*wire.DraftUse) []Usage {
	out := make([]Usage, 0, len(ws))
	for _, w := range ws {
		out = append(out, Usage{Server: w.Server, Drafts: int(w.Drafts), Heads: int(w.Heads), TokenLayers: int(w.TokenLayers)})
	}
	return out
}

func usesToWire(uses []Usage) []*wire.DraftUse {
	out := make([]*wire.DraftUse, 0, len(uses))
	for _, u := range uses {
		out = append(out, useToWire(u))
	}
	return out
}

func useToWire(u Usage) *wire.DraftUse {
	return &wire.DraftUse{Server: u.Server, Drafts: uint32(max(0, u.Drafts)), Heads: uint32(max(0, u.Heads)), TokenLayers: uint64(max(0, u.TokenLayers))}
}

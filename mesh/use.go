package mesh

import (
	"slices"

	"github.com/balsamlb/balsamlb/instance/wire"
)

// Use is work that passes through one backend server.
type Use struct {
	Server string
	// Drafts counts all drafts, Heads those whose path the server begins.
	Drafts int
	Heads  int
	// TokenLayers is the predicted memory of the drafts, in tokens times layers.
	TokenLayers int
}

// use is what one watcher has told.
type use struct {
	running []Use
	faulty  []string
}

// SetRunning takes this instance's usage, which the watches pass on.
func (m *Mesh) SetRunning(running []Use, faulty []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running = running
	m.faulty = faulty
}

// Others returns what the other instances use of each backend server. Each control instance
// tells the usage of all its watchers; the largest sum is taken, since some hear only a part.
func (m *Mesh) Others() map[string]Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	sums := make(map[string]Use)
	for _, told := range m.others {
		for _, u := range told {
			if u.TokenLayers >= sums[u.Server].TokenLayers {
				sums[u.Server] = u
			}
		}
	}
	return sums
}

// Faulty returns how many watchers of this instance get no answer from each server.
func (m *Mesh) Faulty() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[string]int)
	for _, u := range m.usage {
		for _, id := range u.faulty {
			counts[id]++
		}
	}
	return counts
}

// sumOthers adds up the usage of all watchers but one. The caller holds the lock.
func (m *Mesh) sumOthers(without string) []Use {
	sums := make(map[string]Use)
	for name, u := range m.usage {
		if name == without {
			continue
		}
		for _, r := range u.running {
			s := sums[r.Server]
			s.Server = r.Server
			s.Drafts += r.Drafts
			s.Heads += r.Heads
			s.TokenLayers += r.TokenLayers
			sums[r.Server] = s
		}
	}
	out := make([]Use, 0, len(sums))
	for _, u := range sums {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Use) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return out
}

func usesFromWire(ws []*wire.DraftUse) []Use {
	out := make([]Use, 0, len(ws))
	for _, w := range ws {
		out = append(out, Use{Server: w.Server, Drafts: int(w.Drafts), Heads: int(w.Heads), TokenLayers: int(w.TokenLayers)})
	}
	return out
}

func usesToWire(uses []Use) []*wire.DraftUse {
	out := make([]*wire.DraftUse, 0, len(uses))
	for _, u := range uses {
		out = append(out, &wire.DraftUse{Server: u.Server, Drafts: uint32(max(0, u.Drafts)), Heads: uint32(max(0, u.Heads)), TokenLayers: uint64(max(0, u.TokenLayers))})
	}
	return out
}

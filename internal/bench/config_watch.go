package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// versionWatcher polls the configuration version in force at each instance.
type versionWatcher struct {
	lab     *lab.Lab
	mu      sync.Mutex
	inForce map[string]uint64 // version by instance name; 0 until known, and after a restart
}

func newVersionWatcher(l *lab.Lab) *versionWatcher {
	return &versionWatcher{lab: l, inForce: make(map[string]uint64)}
}

// run polls until ctx ends, and fails when an instance reverts to an older version. Version 0
// is not a reversion: an instance that has just started has no version yet.
func (w *versionWatcher) run(ctx context.Context) error {
	var g errgroup.Group
	for _, i := range w.lab.Instances {
		client := operator.NewClient(i.OperatorAddress())
		g.Go(func() error {
			highest := uint64(0)
			for ctx.Err() == nil {
				d, err := client.Config()
				if err == nil && d.Version > 0 && d.Version < highest {
					return eris.Wrapf(errReverted, "%s: from %d to %d", i.Name, highest, d.Version)
				}
				highest = max(highest, d.Version)
				w.mu.Lock()
				w.inForce[i.Name] = d.Version
				w.mu.Unlock()
				sleep(ctx, configPollInterval)
			}
			return nil
		})
	}
	return g.Wait()
}

// waitInForce waits until the version is in force at all instances except the victim. It returns
// the time that has passed since the change was accepted.
func (w *versionWatcher) waitInForce(ctx context.Context, version uint64, victim *lab.Instance, accepted time.Time) (time.Duration, error) {
	deadline := time.Now().Add(configTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if behind := w.lagging(version, victim); len(behind) == 0 {
			return max(0, time.Since(accepted)), nil
		}
		sleep(ctx, time.Millisecond)
	}
	return 0, eris.Errorf("bench: version %d is not in force at %s", version, strings.Join(w.lagging(version, victim), ", "))
}

func (w *versionWatcher) lagging(version uint64, victim *lab.Instance) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, i := range w.lab.Instances {
		if i != victim && w.inForce[i.Name] < version {
			out = append(out, i.Name)
		}
	}
	return out
}

// naivePollers models the instances of a naive version: each fetches the configuration from
// the same instance at a fixed interval.
type naivePollers struct {
	client     *operator.Client
	rng        *rand.Rand
	count      int
	mu         sync.Mutex
	acceptedAt map[uint64]time.Time // by version
	delays     []float64            // from acceptance until a poller has the version, in seconds
}

func newNaivePollers(l *lab.Lab, rng *rand.Rand) *naivePollers {
	return &naivePollers{client: operator.NewClient(l.Instances[0].OperatorAddress()), rng: rng, count: len(l.Instances), acceptedAt: make(map[uint64]time.Time)}
}

func (p *naivePollers) run(ctx context.Context) error {
	var g errgroup.Group
	for range p.count {
		offset := time.Duration(p.rng.Int64N(int64(naivePollInterval)))
		g.Go(func() error {
			have := uint64(0)
			sleep(ctx, offset)
			for ctx.Err() == nil {
				d, err := p.client.Config()
				if err == nil && d.Version > have {
					p.recordVersions(have, d.Version)
					have = d.Version
				}
				sleep(ctx, naivePollInterval)
			}
			return nil
		})
	}
	return g.Wait()
}

func (p *naivePollers) recordAccepted(version uint64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptedAt[version] = at
}

// recordVersions records the delay of every version above have, up to and including version. A
// poller that had the version have has just received all of these versions at once.
func (p *naivePollers) recordVersions(have, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for v := have + 1; v <= version; v++ {
		if at, ok := p.acceptedAt[v]; ok {
			p.delays = append(p.delays, time.Since(at).Seconds())
		}
	}
}

func (p *naivePollers) p99() float64 {
	slices.Sort(p.delays)
	return quantile(p.delays, 0.99)
}

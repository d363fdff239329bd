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

// versionWatch polls the version in force at each instance.
type versionWatch struct {
	lab  *lab.Lab
	mu   sync.Mutex
	seen map[string]uint64 // in force, by instance; 0 after a restart
}

func newVersionWatch(l *lab.Lab) *versionWatch {
	return &versionWatch{lab: l, seen: make(map[string]uint64)}
}

// run polls until ctx ends, and fails when an instance goes back to an older version. An
// instance that has just been started has none yet.
func (w *versionWatch) run(ctx context.Context) error {
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
				w.seen[i.Name] = d.Version
				w.mu.Unlock()
				wait(ctx, configPoll)
			}
			return nil
		})
	}
	return g.Wait()
}

// wait returns the time from accepted until the version is in force everywhere but at the
// victim.
func (w *versionWatch) wait(ctx context.Context, version uint64, victim *lab.Instance, accepted time.Time) (time.Duration, error) {
	limit := time.Now().Add(configLimit)
	for time.Now().Before(limit) && ctx.Err() == nil {
		if behind := w.behind(version, victim); len(behind) == 0 {
			return max(0, time.Since(accepted)), nil
		}
		wait(ctx, time.Millisecond)
	}
	return 0, eris.Errorf("bench: version %d is not in force at %s", version, strings.Join(w.behind(version, victim), ", "))
}

func (w *versionWatch) behind(version uint64, victim *lab.Instance) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, i := range w.lab.Instances {
		if i != victim && w.seen[i.Name] < version {
			out = append(out, i.Name)
		}
	}
	return out
}

// naivePollers are instances of a naive version, which ask one place for the configuration
// at an interval.
type naivePollers struct {
	client *operator.Client
	rng    *rand.Rand
	count  int
	mu     sync.Mutex
	times  map[uint64]time.Time // when each version was accepted
	ages   []float64            // from acceptance to a poller that has the version, in seconds
}

func newNaivePollers(l *lab.Lab, rng *rand.Rand) *naivePollers {
	return &naivePollers{client: operator.NewClient(l.Instances[0].OperatorAddress()), rng: rng, count: len(l.Instances), times: make(map[uint64]time.Time)}
}

func (p *naivePollers) run(ctx context.Context) error {
	var g errgroup.Group
	for range p.count {
		offset := time.Duration(p.rng.Int64N(int64(naivePoll)))
		g.Go(func() error {
			have := uint64(0)
			wait(ctx, offset)
			for ctx.Err() == nil {
				d, err := p.client.Config()
				if err == nil && d.Version > have {
					p.note(have, d.Version)
					have = d.Version
				}
				wait(ctx, naivePoll)
			}
			return nil
		})
	}
	return g.Wait()
}

func (p *naivePollers) accepted(version uint64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times[version] = at
}

// note takes the versions after have that a poller has just got, all at once.
func (p *naivePollers) note(have, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for v := have + 1; v <= version; v++ {
		if at, ok := p.times[v]; ok {
			p.ages = append(p.ages, time.Since(at).Seconds())
		}
	}
}

func (p *naivePollers) p99() float64 {
	slices.Sort(p.ages)
	return quantile(p.ages, 0.99)
}

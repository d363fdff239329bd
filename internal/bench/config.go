package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

var configBench = Bench{
	Name: "config",
	Help: "seconds from the acceptance of a change until it is in force at every instance, p99, with racing operators and kills",
	Run:  runConfig,
}

const (
	configChangesShort = 300
	configChangesLong  = 2000
	// configTargetSeconds is the target for the p99 of the time from the acceptance of a change
	// until it is in force at all instances.
	configTargetSeconds = 1.0
	// An instance is killed at every configKillEvery-th change.
	configKillEvery    = 10
	configPollInterval = 5 * time.Millisecond
	// configTimeout bounds the wait for the answer to a change and, separately, the wait until the
	// change is in force at the instances.
	configTimeout = 30 * time.Second
	// naivePollInterval is the interval at which the naive version fetches the configuration.
	naivePollInterval = time.Second
)

var (
	errNotOneAccepted = errors.New("bench: of two competing changes, not exactly one was accepted")
	errReverted       = errors.New("bench: an instance reverted to an older configuration version")
)

// configRun applies changes while every instance is polled for its version.
type configRun struct {
	lab     *lab.Lab
	rng     *rand.Rand
	watcher *versionWatcher
	naive   *naivePollers
	seconds []float64
	resends int
}

func runConfig(ctx context.Context, o Options) (Figure, error) {
	l, err := lab.Start(ctx, standardLayout(o))
	if err != nil {
		return Figure{}, err
	}
	defer l.Close()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	naive := newNaivePollers(l, rand.New(rand.NewPCG(o.Seed, 4)))
	run := &configRun{lab: l, rng: rand.New(rand.NewPCG(o.Seed, 3)), watcher: newVersionWatcher(l), naive: naive}
	var g errgroup.Group
	g.Go(func() error { return run.watcher.run(watchCtx) })
	g.Go(func() error { return naive.run(watchCtx) })
	count := configChangesLong
	if o.Short {
		count = configChangesShort
	}
	err = run.applyChanges(ctx, uint64(count))
	cancel()
	// The watcher's error takes precedence: it ends the polling of an instance that reverted.
	if watchErr := g.Wait(); watchErr != nil {
		err = watchErr
	}
	if err != nil {
		return Figure{}, err
	}
	return run.figure(naive), nil
}

// applyChanges lets two operators compete for each version, and kills an instance periodically.
func (r *configRun) applyChanges(ctx context.Context, count uint64) error {
	for n := uint64(1); n <= count; n++ {
		var victim *lab.Instance
		if n%configKillEvery == 0 {
			victim = r.lab.Instances[r.rng.IntN(len(r.lab.Instances))]
			victim.Kill()
		}
		accepted, err := r.race(ctx, n)
		if err != nil {
			return err
		}
		r.naive.recordAccepted(n+1, accepted)
		// The killed instance receives the version only after its restart, so the measured delivery
		// time leaves that instance out.
		elapsed, err := r.watcher.waitInForce(ctx, n+1, victim, accepted)
		if err != nil {
			return err
		}
		r.seconds = append(r.seconds, elapsed.Seconds())
		if victim != nil {
			if err := victim.Start(); err != nil {
				return err
			}
			if _, err := r.watcher.waitInForce(ctx, n+1, nil, accepted); err != nil {
				return err
			}
		}
	}
	return nil
}

// race sends two changes with the same expected version to random instances, resends each until it
// is answered, and checks that exactly one is accepted. It returns the time at which the answer to
// the accepted change arrived.
func (r *configRun) race(ctx context.Context, expect uint64) (time.Time, error) {
	var g errgroup.Group
	var replies [2]operator.ChangeReply
	var at [2]time.Time
	for k := range replies {
		c := config.Change{
			ID:     fmt.Sprintf("change-%d-%d", expect, k),
			Expect: expect,
			Base:   fmt.Sprintf("%s[limits]\nmax_tokens = %d\n", standardBase, 1000+2*int(expect)+k),
			Author: fmt.Sprintf("operator-%d", k),
		}
		first := r.rng.IntN(len(r.lab.Instances))
		g.Go(func() error {
			var err error
			replies[k], at[k], err = r.send(ctx, c, first)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return time.Time{}, err
	}
	winner, loser := 0, 1
	if replies[1].Accepted {
		winner, loser = 1, 0
	}
	if !replies[winner].Accepted || replies[loser].Accepted || replies[loser].Difference == "" {
		return time.Time{}, eris.Wrapf(errNotOneAccepted, "version %d", expect+1)
	}
	// The accepted change is sent again, as if its answer had been lost; a change with a known
	// ID must get the same answer.
	again, _, err := r.send(ctx, config.Change{
		ID: fmt.Sprintf("change-%d-%d", expect, winner), Expect: expect, Base: standardBase,
	}, r.rng.IntN(len(r.lab.Instances)))
	if err != nil {
		return time.Time{}, err
	}
	r.resends++
	if !again.Accepted || again.Version != expect+1 {
		return time.Time{}, eris.Wrapf(errNotOneAccepted, "version %d sent again", expect+1)
	}
	return at[winner], nil
}

// send tries the instances in turn, starting with first, until one answers the change.
func (r *configRun) send(ctx context.Context, c config.Change, first int) (operator.ChangeReply, time.Time, error) {
	deadline := time.Now().Add(configTimeout)
	for i := first; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		address := r.lab.Instances[i%len(r.lab.Instances)].OperatorAddress()
		reply, err := operator.NewClient(address).Change(c)
		if err == nil {
			return reply, time.Now(), nil
		}
		sleep(ctx, configPollInterval)
	}
	return operator.ChangeReply{}, time.Time{}, eris.Errorf("bench: change %s got no answer", c.ID)
}

func (r *configRun) figure(naive *naivePollers) Figure {
	slices.Sort(r.seconds)
	baseline := naive.p99()
	return Figure{
		Value:    quantile(r.seconds, 0.99),
		Unit:     "s p99 from accept to in force everywhere",
		Bound:    configTargetSeconds,
		Baseline: &baseline,
		Details: map[string]float64{
			"median_seconds": quantile(r.seconds, 0.5),
			"max_seconds":    r.seconds[len(r.seconds)-1],
			"changes":        float64(len(r.seconds)),
			"sent_again":     float64(r.resends),
		},
	}
}

// quantile returns the value below which the given share of the sorted values lies, 0 if there
// are none.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

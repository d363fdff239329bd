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
	// configTarget is the target of the p99, in seconds.
	configTarget = 1.0
	// configKillEvery is the number of changes between two kills.
	configKillEvery = 10
	configPoll      = 5 * time.Millisecond
	// configLimit bounds the wait for one change.
	configLimit = 30 * time.Second
	// naivePoll is how often the naive version asks for the configuration.
	naivePoll = time.Second
)

var (
	errNotOneWinner = errors.New("bench: of two changes against one version not just one was accepted")
	errReverted     = errors.New("bench: an instance went back to an older version")
)

// configRun applies changes and watches every instance.
type configRun struct {
	lab     *lab.Lab
	rng     *rand.Rand
	watch   *versionWatch
	naive   *naivePollers
	seconds []float64
	resent  int
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
	run := &configRun{lab: l, rng: rand.New(rand.NewPCG(o.Seed, 3)), watch: newVersionWatch(l), naive: naive}
	var g errgroup.Group
	g.Go(func() error { return run.watch.run(watchCtx) })
	g.Go(func() error { return naive.run(watchCtx) })
	count := configChangesLong
	if o.Short {
		count = configChangesShort
	}
	err = run.changes(ctx, uint64(count))
	cancel()
	// An instance that went back to an older version is no longer watched, so this comes first.
	if watchErr := g.Wait(); watchErr != nil {
		err = watchErr
	}
	if err != nil {
		return Figure{}, err
	}
	return run.figure(naive), nil
}

// changes lets two operators race for each version, and kills an instance now and then.
func (r *configRun) changes(ctx context.Context, count uint64) error {
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
		r.naive.accepted(n+1, accepted)
		// An instance that was killed gets the version once it is back, which counts as its
		// restart and not as the delivery.
		took, err := r.watch.wait(ctx, n+1, victim, accepted)
		if err != nil {
			return err
		}
		r.seconds = append(r.seconds, took.Seconds())
		if victim != nil {
			if err := victim.Start(); err != nil {
				return err
			}
			if _, err := r.watch.wait(ctx, n+1, nil, accepted); err != nil {
				return err
			}
		}
	}
	return nil
}

// race sends two changes against one version at two instances, each until it has an answer,
// and returns when the first acceptance was known.
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
		return time.Time{}, eris.Wrapf(errNotOneWinner, "version %d", expect+1)
	}
	// The winner's answer is lost on purpose, and the change sent again.
	again, _, err := r.send(ctx, config.Change{
		ID: fmt.Sprintf("change-%d-%d", expect, winner), Expect: expect, Base: standardBase,
	}, r.rng.IntN(len(r.lab.Instances)))
	if err != nil {
		return time.Time{}, err
	}
	r.resent++
	if !again.Accepted || again.Version != expect+1 {
		return time.Time{}, eris.Wrapf(errNotOneWinner, "version %d sent again", expect+1)
	}
	return at[winner], nil
}

// send sends a change to one instance after the other until one answers.
func (r *configRun) send(ctx context.Context, c config.Change, first int) (operator.ChangeReply, time.Time, error) {
	limit := time.Now().Add(configLimit)
	for i := first; time.Now().Before(limit) && ctx.Err() == nil; i++ {
		address := r.lab.Instances[i%len(r.lab.Instances)].OperatorAddress()
		reply, err := operator.NewClient(address).Change(c)
		if err == nil {
			return reply, time.Now(), nil
		}
		wait(ctx, configPoll)
	}
	return operator.ChangeReply{}, time.Time{}, eris.Errorf("bench: change %s got no answer", c.ID)
}

func (r *configRun) figure(naive *naivePollers) Figure {
	slices.Sort(r.seconds)
	baseline := naive.p99()
	return Figure{
		Value:    quantile(r.seconds, 0.99),
		Unit:     "s p99 from accept to in force everywhere",
		Bound:    configTarget,
		Baseline: &baseline,
		Details: map[string]float64{
			"median_seconds": quantile(r.seconds, 0.5),
			"max_seconds":    r.seconds[len(r.seconds)-1],
			"changes":        float64(len(r.seconds)),
			"sent_again":     float64(r.resent),
		},
	}
}

// quantile returns the value below which the share of the sorted values lies.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

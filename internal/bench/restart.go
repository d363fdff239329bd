package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/rotisserie/eris"
)

var restartBench = Bench{
	Name: "restart",
	Help: "restart time of a control instance after 1,000 configuration changes over that after 10",
	Run:  runRestart,
}

const (
	fewChanges  = 10
	manyChanges = 1000
	// restartBound is the target: the highest allowed ratio of the restart time after manyChanges
	// to the restart time after fewChanges.
	restartBound        = 1.2
	restartRoundsShort  = 9
	restartRoundsLong   = 40
	restartPollInterval = time.Millisecond
)

func runRestart(ctx context.Context, o Options) (Figure, error) {
	l, err := startFailoverLab(ctx, failoverLayout(o, "group", 3))
	if err != nil {
		return Figure{}, err
	}
	defer l.Close()
	rounds := restartRoundsLong
	if o.Short {
		rounds = restartRoundsShort
	}
	version := uint64(1)
	var medians []float64
	for _, changes := range []uint64{fewChanges, manyChanges} {
		for ; version < changes; version++ {
			if err := applyChange(ctx, l, version); err != nil {
				return Figure{}, err
			}
		}
		median, err := restartTime(ctx, l, rounds)
		if err != nil {
			return Figure{}, err
		}
		fmt.Fprintf(o.Out, "after %d changes a restart takes %.1f ms\n", changes, 1000*median)
		medians = append(medians, median)
	}
	return Figure{
		Value: medians[1] / medians[0],
		Unit:  "ratio",
		Bound: restartBound,
		Details: map[string]float64{
			"p50_after_10_seconds":   medians[0],
			"p50_after_1000_seconds": medians[1],
		},
	}, nil
}

// applyChange applies one change with a configuration of about a kilobyte.
func applyChange(ctx context.Context, l *lab.Lab, version uint64) error {
	base := l.Layout.Base + strings.Repeat("; a comment that makes the file larger\n", 25) + fmt.Sprintf("[workspace w%d]\n", version)
	return l.Apply(ctx, version, fmt.Sprintf("restart-%d", version), base, nil)
}

// restartTime kills and restarts a follower in each round. It returns the median time in seconds
// from the restart until the follower has applied the log up to the leader's commit index.
func restartTime(ctx context.Context, l *lab.Lab, rounds int) (float64, error) {
	var times []float64
	for range rounds {
		leader, err := waitVotersCaughtUp(ctx, l)
		if err != nil {
			return 0, err
		}
		leaderStatus := controlStatus(l, leader)
		if leaderStatus == nil {
			return 0, eris.Errorf("bench: the leader %s reports no control status", leader.Name)
		}
		follower := l.Instances[slices.IndexFunc(l.Instances, func(i *lab.Instance) bool { return i.DataFolder != "" && i != leader })]
		follower.Kill()
		start := time.Now()
		if err := follower.Start(); err != nil {
			return 0, err
		}
		for ctx.Err() == nil {
			if s := controlStatus(l, follower); s != nil && s.Applied >= leaderStatus.Commit {
				break
			}
			time.Sleep(restartPollInterval)
		}
		times = append(times, time.Since(start).Seconds())
	}
	slices.Sort(times)
	return quantile(times, 0.5), ctx.Err()
}

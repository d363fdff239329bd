package bench

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/balsamlb/balsamlb/internal/load"
	"github.com/rotisserie/eris"
)

var votersBench = Bench{
	Name: "voters",
	Help: "bookings a second with 3 voters; bookings a second and bytes a booking with 3, 5 and 7, and the slope of a voter; beside one voter",
	Run:  runVoters,
}

const (
	votersBookingsShort = 2000
	votersBookingsLong  = 20_000
	votersConcurrent    = 64
	// idleDuration is how long the background traffic without bookings is measured.
	idleDuration = time.Second
)

// votersSample is the cost of bookings with a given number of voters. Each booking is sent
// twice.
type votersSample struct {
	voters       int
	perSecond    float64
	networkBytes float64 // per booking, between instances
	diskBytes    float64 // per booking, written by all voters
}

func runVoters(ctx context.Context, o Options) (Figure, error) {
	details := make(map[string]float64)
	var baseline float64
	var samples []votersSample
	for _, voters := range []int{1, 3, 5, 7} {
		s, err := sampleVoters(ctx, o, voters)
		if err != nil {
			return Figure{}, err
		}
		fmt.Fprintf(o.Out, "%d voters: %.0f bookings/s, %.0f bytes on the network and %.0f on disks a booking\n",
			voters, s.perSecond, s.networkBytes, s.diskBytes)
		details[fmt.Sprintf("voters_%d_bookings_per_second", voters)] = s.perSecond
		details[fmt.Sprintf("voters_%d_network_bytes", voters)] = s.networkBytes
		details[fmt.Sprintf("voters_%d_disk_bytes", voters)] = s.diskBytes
		if voters == 1 {
			baseline = s.perSecond
			continue
		}
		samples = append(samples, s)
	}
	addVotersSlope(details, "slope_bookings_per_second", samples, func(s votersSample) float64 { return s.perSecond })
	addVotersSlope(details, "slope_network_bytes", samples, func(s votersSample) float64 { return s.networkBytes })
	addVotersSlope(details, "slope_disk_bytes", samples, func(s votersSample) float64 { return s.diskBytes })
	return Figure{Value: samples[0].perSecond, Unit: "bookings/s", Baseline: &baseline, Details: details}, nil
}

// addVotersSlope adds the change of a value per additional voter, by least squares. It adds nothing if
// the samples don't determine it.
func addVotersSlope(details map[string]float64, name string, samples []votersSample, of func(votersSample) float64) {
	var x [][]float64
	var y []float64
	for _, s := range samples {
		x = append(x, []float64{1, float64(s.voters)})
		y = append(y, of(s))
	}
	if c, err := leastSquares(x, y); err == nil {
		details[name] = c[1]
	}
}

// votersCounters holds the bytes that all instances have sent over the network and all voters
// have written to disk, up to one point in time.
type votersCounters struct {
	network, disk float64
}

func sampleVoters(ctx context.Context, o Options, voters int) (votersSample, error) {
	l, err := startFailoverLab(ctx, failoverLayout(o, fmt.Sprintf("voters%d", voters), voters))
	if err != nil {
		return votersSample{}, err
	}
	defer l.Close()
	if _, err := waitVotersCaughtUp(ctx, l); err != nil {
		return votersSample{}, err
	}
	idle, err := readVoters(l)
	if err != nil {
		return votersSample{}, err
	}
	sleep(ctx, idleDuration)
	before, err := readVoters(l)
	if err != nil {
		return votersSample{}, err
	}
	count := votersBookingsLong
	if o.Short {
		count = votersBookingsShort
	}
	start := time.Now()
	r := load.Run(ctx, load.Options{
		Instances: []string{l.Instances[0].CallerAddress(), l.Instances[1].CallerAddress()}, Workspace: "kandy",
		Bookings: count, Concurrent: votersConcurrent, Seed: o.Seed, Deadline: 30 * time.Second,
	})
	seconds := time.Since(start).Seconds()
	if len(r.Violations) > 0 {
		return votersSample{}, eris.Errorf("bench: %d bookings violated a guarantee, the first: %s", len(r.Violations), r.Violations[0])
	}
	after, err := readVoters(l)
	if err != nil {
		return votersSample{}, err
	}
	perBooking := func(idle, before, after float64) float64 {
		background := (before - idle) / idleDuration.Seconds() * seconds
		return (after - before - background) / float64(count)
	}
	return votersSample{
		voters:       voters,
		perSecond:    float64(r.Booked) / seconds,
		networkBytes: perBooking(idle.network, before.network, after.network),
		diskBytes:    perBooking(idle.disk, before.disk, after.disk),
	}, nil
}

func readVoters(l *lab.Lab) (votersCounters, error) {
	var r votersCounters
	for _, i := range l.Instances {
		counters, err := readInstance(i)
		if err != nil {
			return r, err
		}
		// Each byte is counted by its sender and by its receiver.
		r.network += counters.instanceBytes / 2
		written, err := writtenBytes(i.PID())
		if err != nil {
			return r, err
		}
		if i.DataFolder != "" {
			r.disk += written
		}
	}
	return r, nil
}

// writtenBytes returns the number of bytes that the process has caused to be written to disk.
func writtenBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, eris.Wrap(err, "bench: read the I/O counters of the process")
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "write_bytes: "); ok {
			return strconv.ParseFloat(strings.TrimSpace(value), 64)
		}
	}
	return 0, eris.New("bench: the I/O counters of the process in /proc have no line write_bytes")
}

package bench

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// controlSample is what an instance spends on control traffic, averaged over the instances.
type controlSample struct {
	size          controlSize
	percentOfCore float64
	// entryPercentOfCore is percentOfCore averaged only over the instances that are not control
	// instances.
	entryPercentOfCore float64
	megabytes          float64
	instanceKilobytes  float64 // per second, both directions
	announceKilobytes  float64 // per second, both directions
	// wakeupMicros is the CPU time of one wake-up of a process that does nothing else. It is
	// measured at the same time as the other values, and so under the same machine load.
	wakeupMicros float64
}

func (s controlSample) kilobytes() float64 { return s.instanceKilobytes + s.announceKilobytes }

// instanceCounters holds the counters of an instance at one point in time.
type instanceCounters struct {
	at            time.Time
	cpu           time.Duration
	residentBytes float64
	instanceBytes float64
	announceBytes float64
}

// sampleControl measures all instances for the duration size.measure.
func sampleControl(l *lab.Lab, size controlSize) (controlSample, error) {
	before, err := readAll(l)
	if err != nil {
		return controlSample{}, err
	}
	cost := wakeupCost(size.measure)
	after, err := readAll(l)
	if err != nil {
		return controlSample{}, err
	}
	s := controlSample{size: size, wakeupMicros: float64(cost.Microseconds())}
	entries := 0
	for _, i := range l.Instances {
		if i.DataFolder == "" {
			entries++
		}
	}
	for i := range before {
		a, b := before[i], after[i]
		seconds := b.at.Sub(a.at).Seconds()
		share := 1 / float64(len(before))
		percent := 100 * (b.cpu - a.cpu).Seconds() / seconds
		s.percentOfCore += share * percent
		if l.Instances[i].DataFolder == "" {
			s.entryPercentOfCore += percent / float64(entries)
		}
		s.megabytes += share * b.residentBytes / (1 << 20)
		s.instanceKilobytes += share * (b.instanceBytes - a.instanceBytes) / 1000 / seconds
		s.announceKilobytes += share * (b.announceBytes - a.announceBytes) / 1000 / seconds
	}
	return s, nil
}

const wakeupInterval = 10 * time.Millisecond

// wakeupCost sleeps in intervals of wakeupInterval for d, and returns the CPU time per wake-up.
func wakeupCost(d time.Duration) time.Duration {
	before := selfCPUTime()
	wakeups := 0
	for end := time.Now().Add(d); time.Now().Before(end); wakeups++ {
		time.Sleep(wakeupInterval)
	}
	return (selfCPUTime() - before) / time.Duration(max(1, wakeups))
}

// selfCPUTime returns the CPU time that this process has used.
func selfCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func readAll(l *lab.Lab) ([]instanceCounters, error) {
	var out []instanceCounters
	for _, i := range l.Instances {
		r, err := readInstance(i)
		if err != nil {
			return nil, eris.Wrapf(err, "bench: read the counters of %s", i.Name)
		}
		out = append(out, r)
	}
	return out, nil
}

func readInstance(i *lab.Instance) (instanceCounters, error) {
	values, err := scrape(i.PlatformAddress())
	if err != nil {
		return instanceCounters{}, err
	}
	processor, err := processCPUTime(i.PID())
	if err != nil {
		return instanceCounters{}, err
	}
	r := instanceCounters{at: time.Now(), cpu: processor, residentBytes: values["process_resident_memory_bytes"]}
	for name, v := range values {
		switch {
		case !strings.HasPrefix(name, "balsamlb_control_bytes_total"):
		case strings.Contains(name, `peer="backends"`):
			r.announceBytes += v
		default:
			r.instanceBytes += v
		}
	}
	return r, nil
}

// scrape returns the metrics that the address serves, by name including labels.
func scrape(address string) (map[string]float64, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/metrics", 5*time.Second)
	if err != nil || status != fasthttp.StatusOK {
		return nil, eris.Errorf("bench: metrics of %s: status %d: %v", address, status, err)
	}
	values := make(map[string]float64)
	lines := bufio.NewScanner(strings.NewReader(string(body)))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values, lines.Err()
}

// clockTick is the unit of CPU times in /proc, at the usual 100 ticks per second.
const clockTick = 10 * time.Millisecond

var errProcFormat = errors.New("bench: unexpected format of /proc/PID/stat")

// processCPUTime returns the CPU time that a process has used.
func processCPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The process name in parentheses may contain spaces, so the fields are counted after it.
	// User and system time are fields 14 and 15 of the line.
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) < 13 {
		return 0, errProcFormat
	}
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick, err
}

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

// controlSample is what one instance spends on control, as the mean over the instances.
type controlSample struct {
	size          controlSize
	percentOfCore float64
	// entryPercentOfCore is the mean over the instances that are not control instances.
	entryPercentOfCore float64
	megabytes          float64
	instanceKilobytes  float64 // a second, both directions
	announceKilobytes  float64 // a second, both directions
	// wakeMicros is the processor time of one wake-up of a process that does nothing, on the
	// machine as busy as it was during the measurement.
	wakeMicros float64
}

func (s controlSample) kilobytes() float64 { return s.instanceKilobytes + s.announceKilobytes }

// reading is one look at the counters of an instance.
type reading struct {
	at            time.Time
	processor     time.Duration
	residentBytes float64
	instanceBytes float64
	announceBytes float64
}

// sampleControl measures all instances over the time of the size.
func sampleControl(l *lab.Lab, size controlSize) (controlSample, error) {
	before, err := readAll(l)
	if err != nil {
		return controlSample{}, err
	}
	wake := wakeCost(size.measure)
	after, err := readAll(l)
	if err != nil {
		return controlSample{}, err
	}
	s := controlSample{size: size, wakeMicros: float64(wake.Microseconds())}
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
		percent := 100 * (b.processor - a.processor).Seconds() / seconds
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

const wakeInterval = 10 * time.Millisecond

// wakeCost sleeps for d in short steps, and returns the processor time that a step costs.
func wakeCost(d time.Duration) time.Duration {
	before := ownProcessorTime()
	wakes := 0
	for end := time.Now().Add(d); time.Now().Before(end); wakes++ {
		time.Sleep(wakeInterval)
	}
	return (ownProcessorTime() - before) / time.Duration(max(1, wakes))
}

// ownProcessorTime returns the processor time of this process.
func ownProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func readAll(l *lab.Lab) ([]reading, error) {
	var out []reading
	for _, i := range l.Instances {
		r, err := readInstance(i)
		if err != nil {
			return nil, eris.Wrapf(err, "bench: read %s", i.Name)
		}
		out = append(out, r)
	}
	return out, nil
}

func readInstance(i *lab.Instance) (reading, error) {
	values, err := scrape(i.PlatformAddress())
	if err != nil {
		return reading{}, err
	}
	processor, err := processorTime(i.PID())
	if err != nil {
		return reading{}, err
	}
	r := reading{at: time.Now(), processor: processor, residentBytes: values["process_resident_memory_bytes"]}
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

// scrape returns the metrics served at the address, by name with labels.
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

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

var errProcFormat = errors.New("bench: /proc has another format")

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name in brackets may hold spaces; user and system time are fields 14 and 15.
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

package lab

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// soakOptions are the size and the course of a soak.
type soakOptions struct {
	seed               uint64
	controls, gateways int
	servers            int
	leavers            int // servers that leave, at a time
	// routes is how many routes, each with so many keys, never change.
	routes, keys int
	duration     time.Duration
	changeEvery  time.Duration
	probeEvery   time.Duration // at each gateway
	// isQuiet means that no faults are played.
	isQuiet bool
	// controlMbps and gatewayMbps are the bandwidths of the machines' links; 0: unlimited.
	controlMbps, gatewayMbps int
	// controlShare is the share of a core that each control instance gets; 0: not limited.
	controlShare float64
	// binary is the build of the members; empty: this one, or BALSAMLB_SOAK_BIN.
	binary string
	// roll replaces builds; nil: none.
	roll *soakRoll
}

// soak is a run of a deployment with an operator, callers, backend servers and faults.
type soak struct {
	t       testing.TB
	options soakOptions
	d       *Deployment
	judge   *soakJudge
	client  *fasthttp.Client
	ctx     context.Context // ends with the soak
	work    context.Context // ends before the final checks
	cancel  context.CancelFunc
	endWork context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex // guards the members and the following
	boots   map[string]int
	stopped map[string]bool // gateways whose process doesn't run
	// onAck is called once with the control instance that acknowledges a document next.
	onAck atomic.Pointer[func(*Member)]
	// delays are when the test itself was late, so that throttled control instances had trouble that is not theirs.
	delays []*trouble
}

func startSoak(t testing.TB, o soakOptions) *soak {
	t.Helper()
	binary := cmp.Or(o.binary, os.Getenv("BALSAMLB_SOAK_BIN"), filepath.Join(binFolder, "balsamd"))
	s := &soak{t: t, options: o, judge: newSoakJudge(t), boots: make(map[string]int), stopped: make(map[string]bool),
		client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1 << 16}}
	s.ctx, s.cancel = context.WithCancel(t.Context())
	s.work, s.endWork = context.WithCancel(s.ctx)
	const megabit = 1_000_000 / 8
	environment := cmp.Or(os.Getenv("BALSAMLB_SOAK_ENV"), "GOMAXPROCS=1") // of each process
	d, err := StartDeployment(s.ctx, DeploymentLayout{
		Folder: soakFolder(t, o), Binary: binary, Controls: o.controls, Gateways: o.gateways, Tolerate: (o.controls - 1) / 2,
		ControlBytesPerSecond: o.controlMbps * megabit, GatewayBytesPerSecond: o.gatewayMbps * megabit, AnnounceInterval: announceEvery,
		ControlMemoryMB: 280, GatewayMemoryMB: 184, Env: []string{environment},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.d = d
	t.Logf("seed %d: network %s, binary %s", o.seed, d.Network, binary)
	t.Cleanup(func() {
		s.cancel()
		s.wg.Wait()
		d.Close()
		s.printLogs()
	})
	for _, g := range d.Gateways {
		s.boots[g.Name] = 1
		s.judge.end(s.judge.begin(trouble{what: "start of " + g.Name, gateway: g.Name}))
	}
	s.judge.end(s.judge.begin(trouble{what: "start of all", isCore: true, isTotal: true}))
	if o.roll != nil {
		o.roll.s = s
	}
	s.startServers(o.servers)
	if o.controlShare > 0 {
		for _, c := range d.Controls {
			s.run(func() { newThrottle(c.Process, o.controlShare, s.handleDelay).run(s.ctx) })
		}
	}
	return s
}

// handleDelay records that the test itself was late.
func (s *soak) handleDelay(from, to time.Time) {
	t := s.judge.begin(trouble{what: "the test itself is late", isCore: true})
	s.judge.mu.Lock()
	t.from, t.to = from, to
	s.judge.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays = append(s.delays, t)
}

// wasLate reports whether the test itself was late at the time or within a bound before.
func (s *soak) wasLate(at time.Time, before time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.delays, func(t *trouble) bool { return t.overlaps(at, at, before) })
}

func (s *soak) isWorking() bool { return s.work.Err() == nil }

func (s *soak) sleep(d time.Duration) { sleepUntil(s.ctx, time.Now().Add(d)) }

func (s *soak) controls() []*Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.d.Controls)
}

func (s *soak) gateways() []*Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.d.Gateways)
}

// boot returns the number of the gateway's start, or 0 while its process doesn't run.
func (s *soak) boot(g *Member) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped[g.Name] {
		return 0
	}
	return s.boots[g.Name]
}

func (s *soak) run(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// play runs the operator, the callers and the faults, and then checks what is left after a loss of all
// processes.
func (s *soak) play() {
	s.startWork()
	switch f := newSoakFaults(s); {
	case !s.options.isQuiet:
		f.run()
	case s.options.roll != nil:
		f.runRoll()
	default:
		s.sleep(s.options.duration)
	}
	s.checkEnd()
	s.cancel()
	s.wg.Wait()
	for _, m := range s.d.Members() {
		if m.HasExited() {
			s.judge.report("EXITED", "%s has ended by itself", m.Name)
		}
	}
	s.judge.checkServed()
	s.t.Logf("seed %d, %d control instances, %d gateways, %d more routes: %s", s.options.seed, s.options.controls, s.options.gateways, s.options.routes, s.judge.summary())
	if len(s.judge.broken) > 0 {
		s.t.Errorf("broken: %v", s.judge.broken)
	}
}

// startWork starts the operator and the callers.
func (s *soak) startWork() {
	workers := min(maxWorkers, s.options.gateways)
	for w := range workers {
		s.run(func() { s.runProbes(w, workers) })
	}
	for n := range s.options.leavers {
		s.run(func() { s.runLeaver(n) })
	}
	s.run(func() { newSoakOperator(s, s.options.seed).run() })
	s.run(s.runReads)
	if r := s.options.roll; r != nil {
		for n := range uint64(rollCallers) {
			s.run(func() { r.runCaller(n) })
		}
	}
	s.run(s.watchDelays)
}

// maxWorkers is how many callers at most ask at once.
const maxWorkers = 16

// watchDelays logs when this process itself was late, since it then can't judge the time of others.
func (s *soak) watchDelays() {
	const interval, late = 50 * time.Millisecond, 300 * time.Millisecond
	for s.ctx.Err() == nil {
		begun := time.Now()
		s.sleep(interval)
		if d := time.Since(begun); d > late {
			s.t.Logf("%s the test itself was late by %d ms", s.judge.second(begun), (d - interval).Milliseconds())
		}
	}
}

// checkEnd kills all right after an acknowledgement, loses as many data folders as may be lost, and checks
// that the newest acknowledged document is read and in force everywhere.
func (s *soak) checkEnd() {
	s.d.HealAll()
	s.sleep(touchTime)
	newSoakFaults(s).killAll(true)
	s.endWork()
	want := s.judge.newest().version
	begun := time.Now()
	for _, c := range s.controls() {
		s.waitFor(begun, recoveryBound, c.Name+" to read back the newest document", func() bool {
			got := s.readOne(c)
			if got > 0 && got < want {
				s.judge.report("END", "%s reads back version %d; %d was acknowledged", c.Name, got, want)
				return true
			}
			return got >= want
		})
	}
	for _, g := range s.gateways() {
		s.waitFor(begun, recoveryBound, g.Name+" to apply the newest document", func() bool { return s.judge.hasSeen(g.Name, s.boot(g), want) })
	}
}

func (s *soak) waitFor(begun time.Time, bound time.Duration, what string, isDone func() bool) {
	for !isDone() {
		if time.Since(begun) > bound {
			s.judge.report("END", "waited %s for %s", bound, what)
			return
		}
		s.sleep(pollInterval)
	}
}

func (j *soakJudge) hasSeen(gateway string, boot int, version uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	seen := j.seen[fmt.Sprint(gateway, " ", boot)]
	return len(seen) > 0 && seen[len(seen)-1].version >= version
}

// printLogs prints what the control instances, and the gateway concerned, logged around each finding.
func (s *soak) printLogs() {
	const before, after = 30 * time.Second, time.Second
	for _, f := range s.judge.findings {
		s.t.Logf("logs around the finding at %s: %.60s", s.judge.second(f.at), f.text)
		for _, m := range s.d.Members() {
			if m.Name == f.gateway || m.Role == "controller" {
				s.printLog(m, f.at.Add(-before), f.at.Add(after))
			}
		}
	}
}

// maxLogLines is how many lines of each log are printed for a finding.
const maxLogLines = 120

func (s *soak) printLog(m *Member, from, to time.Time) {
	file, err := os.Open(m.LogPath)
	if err != nil {
		s.t.Log(err)
		return
	}
	defer file.Close()
	var lines []string
	for in := bufio.NewScanner(file); in.Scan(); {
		var l struct {
			Time time.Time
			Msg  string
		}
		if json.Unmarshal(in.Bytes(), &l) != nil || !l.Time.Before(from) && !l.Time.After(to) && !strings.Contains(l.Msg, "request ended") && !strings.Contains(l.Msg, "announced") {
			lines = append(lines, s.judge.second(l.Time)+" "+in.Text())
		}
	}
	s.t.Logf("%s:\n%s", m.Name, strings.Join(lines[max(0, len(lines)-maxLogLines):], "\n"))
}

// soakFolder returns the folder of the processes: a new one, which is kept, in BALSAMLB_SOAK_FOLDER if that is set.
func soakFolder(t testing.TB, o soakOptions) string {
	kept := os.Getenv("BALSAMLB_SOAK_FOLDER")
	if kept == "" {
		return t.TempDir()
	}
	folder := filepath.Join(kept, fmt.Sprintf("seed-%d-%d", o.seed, time.Now().Unix()))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	return folder
}

// soakNumber returns a number from the environment.
func soakNumber(t *testing.T, name string, otherwise int) int {
	text := os.Getenv("BALSAMLB_SOAK_" + name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("BALSAMLB_SOAK_%s: %v", name, err)
	}
	return n
}

// Guards against acknowledged documents that are late, lost, older again or refused under faults of processes and
// links (docs/incidents/configuration-not-in-force.md).
func TestSoakOfDeployments(t *testing.T) {
	t.Parallel()
	first := soakNumber(t, "FIRST", 0)
	for seed := first; seed < first+soakNumber(t, "SEEDS", 1); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := startSoak(t, soakOptions{
				seed:        uint64(seed),
				controls:    soakNumber(t, "CONTROLS", 3),
				gateways:    soakNumber(t, "GATEWAYS", 4),
				servers:     soakNumber(t, "SERVERS", 4),
				leavers:     soakNumber(t, "LEAVERS", 3),
				routes:      soakNumber(t, "ROUTES", 20),
				keys:        soakNumber(t, "KEYS", 1),
				duration:    time.Duration(soakNumber(t, "SECONDS", 40)) * time.Second,
				changeEvery: time.Duration(soakNumber(t, "CHANGE_MS", 300)) * time.Millisecond,
				probeEvery:  time.Duration(soakNumber(t, "PROBE_MS", 50)) * time.Millisecond,
				isQuiet:     soakNumber(t, "QUIET", 0) > 0,
				controlMbps: soakNumber(t, "CONTROL_MBPS", 170),
				gatewayMbps: soakNumber(t, "GATEWAY_MBPS", 20),

				controlShare: float64(soakNumber(t, "SHARE_PER_MILL", 0)) / 1000,
			})
			s.play()
		})
	}
}

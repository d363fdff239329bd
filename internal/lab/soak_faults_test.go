package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// soakFaults plays faults in series that overlap. Its random choices are seeded; when they take effect is not.
type soakFaults struct {
	s   *soak
	mu  sync.Mutex
	rng *rand.Rand
	// lost holds the control instances that are lost or have just come back.
	lost map[*Member]bool
	// touched holds the gateways that have a fault.
	touched map[*Member]bool
}

const (
	// catchUpTime is how long a machine that is back still counts as lost.
	catchUpTime = 4 * time.Second
	// maxTouchedShare is the share of the gateways that have a fault at once.
	maxTouchedShare = 0.4
)

func newSoakFaults(s *soak) *soakFaults {
	return &soakFaults{s: s, rng: rand.New(rand.NewPCG(s.options.seed, 2)), lost: make(map[*Member]bool), touched: make(map[*Member]bool)}
}

func (f *soakFaults) number(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// between returns a time between the two.
func (f *soakFaults) between(low, high time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

// run plays faults of gateways and of control instances side by side until the time is over, and waits for
// their ends.
func (f *soakFaults) run() {
	var wg sync.WaitGroup
	f.s.sleep(touchTime)
	end := time.Now().Add(f.s.options.duration - touchTime)
	series := func(next func(), low, high time.Duration) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) && f.s.ctx.Err() == nil {
				wg.Add(1)
				go func() {
					defer wg.Done()
					next()
				}()
				f.s.sleep(f.between(low, high))
			}
		}()
	}
	if f.s.options.roll != nil {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.s.options.roll.run(f)
		}()
	}
	series(f.harmGateway, 200*time.Millisecond, 1500*time.Millisecond)
	series(f.harmControl, 500*time.Millisecond, 12*time.Second)
	series(f.harmAll, 15*time.Second, 40*time.Second)
	wg.Wait()
}

// claim picks a member at random that has no fault, or nil if enough have one.
func (f *soakFaults) claim(members []*Member, taken map[*Member]bool, most int) *Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(taken) >= most {
		return nil
	}
	m := members[f.rng.IntN(len(members))]
	if taken[m] {
		return nil
	}
	taken[m] = true
	return m
}

func (f *soakFaults) release(m *Member, taken map[*Member]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(taken, m)
}

// during puts a trouble on record while it sleeps.
func (f *soakFaults) during(t trouble, d time.Duration, begin, end func()) {
	r := f.s.judge.begin(t)
	begin()
	f.s.sleep(d)
	end()
	f.s.judge.end(r)
}

func (f *soakFaults) harmGateway() {
	s := f.s
	gateways := s.gateways()
	g := f.claim(gateways, f.touched, max(1, int(maxTouchedShare*float64(len(gateways)))))
	if g == nil {
		return
	}
	defer f.release(g, f.touched)
	t := trouble{gateway: g.Name}
	switch kind := f.number(10); kind {
	case 0:
		t.what = g.Name + " is frozen"
		f.during(t, f.between(300*time.Millisecond, 5*time.Second), g.Freeze, g.Thaw)
	case 1, 2:
		t.what = g.Name + " is killed"
		f.during(t, f.between(50*time.Millisecond, time.Second), func() { s.stopGateway(g, g.Kill) }, func() { s.startGateway(g) })
	case 3:
		t.what = g.Name + " is stopped"
		f.during(t, f.between(50*time.Millisecond, time.Second), func() { s.stopGateway(g, g.Stop) }, func() { s.startGateway(g) })
	default:
		controls := s.controls()
		f.mu.Lock()
		f.rng.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
		controls = controls[:1+f.rng.IntN(len(controls))]
		f.mu.Unlock()
		harm, what := f.linkFault()
		t.what = fmt.Sprintf("links of %s to %s: %s", g.Name, names(controls), what)
		f.during(t, f.between(300*time.Millisecond, 6*time.Second), func() {
			for _, c := range controls {
				harm(g.Name, c.Name)
			}
		}, func() {
			for _, c := range controls {
				s.d.HealLink(g.Name, c.Name)
			}
		})
	}
}

func names(members []*Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// linkFault picks a fault of a link and returns how it is put on the link between two machines, and its name.
func (f *soakFaults) linkFault() (harm func(a, b string), what string) {
	d := f.s.d
	fault := func(l LinkFault) func(a, b string) { return func(a, b string) { d.HarmLink(a, b, l) } }
	switch f.number(10) {
	case 0:
		return d.Partition, "cut"
	case 1:
		return d.PartitionOneWay, "cut there"
	case 2:
		return func(a, b string) { d.PartitionOneWay(b, a) }, "cut back"
	case 3:
		return d.ResetConnections, "reset"
	case 4:
		return d.BlackholeConnections, "silent connections"
	case 5:
		return func(a, b string) {
			d.BlackholeConnections(a, b)
			d.HarmLink(a, b, LinkFault{RefusesNew: true})
		}, "silent connections, new ones refused"
	case 6:
		return fault(LinkFault{HangsNew: true}), "new connections hang"
	case 7:
		return fault(LinkFault{Loss: 0.3}), "loss of 0.3"
	case 8:
		return fault(LinkFault{BytesPerSecond: 20_000 + f.number(200_000)}), "narrow"
	default:
		return fault(LinkFault{Delay: f.between(50*time.Millisecond, 300*time.Millisecond)}), "delayed"
	}
}

// stopGateway ends the process of a gateway, and startGateway starts it again.
func (s *soak) stopGateway(g *Member, end func()) {
	s.mu.Lock()
	s.stopped[g.Name] = true
	s.mu.Unlock()
	end()
}

func (s *soak) startGateway(g *Member) {
	s.startProcess(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boots[g.Name]++
	delete(s.stopped, g.Name)
}

func (s *soak) startProcess(m *Member) {
	if err := m.Start(); err != nil {
		s.judge.report("START", "%v", err)
	}
}

// harmControl harms a control instance, as long as no more than may be lost are.
func (f *soakFaults) harmControl() {
	s := f.s
	controls := s.controls()
	c := f.claim(controls, f.lost, (len(controls)-1)/2)
	if c == nil {
		return
	}
	defer f.release(c, f.lost)
	defer f.s.sleep(catchUpTime)
	t := trouble{isCore: true}
	long := f.between(300*time.Millisecond, 15*time.Second)
	restart := func() { s.startProcess(c) }
	switch kind := f.number(11); kind {
	case 0, 1:
		t.what = c.Name + " is frozen"
		f.during(t, long, c.Freeze, c.Thaw)
	case 2:
		t.what = c.Name + " is killed"
		f.during(t, long, c.Kill, restart)
	case 3:
		t.what = c.Name + " is stopped"
		f.during(t, long/4, c.Stop, restart)
	case 4:
		t.what = c.Name + " loses its data"
		f.during(t, long/4, func() {
			c.Kill()
			if err := s.d.LoseData(c); err != nil {
				s.judge.report("START", "%v", err)
			}
		}, restart)
	case 5:
		f.replaceControl(c)
	case 6, 7: // cut off from the other control instances, and at times from all
		harm, what := f.linkFault()
		t.what = fmt.Sprintf("links of %s to all: %s", c.Name, what)
		peers := s.controls()
		t.isLasting = what == "narrow" || what == "delayed" || what == "loss of 0.3"
		if kind == 6 {
			if t.isLasting {
				return // that would touch all gateways
			}
			peers = append(peers, s.gateways()...)
		}
		f.harmLinks(t, c, peers, harm, long)
	case 8: // it seems to run, and answers nothing
		t.what = c.Name + " hangs"
		f.harmLinks(t, c, append(s.controls(), s.gateways()...), func(a, b string) {
			s.d.BlackholeConnections(a, b)
			s.d.HarmLink(a, b, LinkFault{HangsNew: true})
		}, long)
	case 9: // as if it had no file descriptors left: what is connected goes on
		if f.number(2) == 0 {
			t.what = c.Name + " takes no new connections"
			f.during(t, long, func() { s.d.PauseAccepting(c.Name) }, func() { s.d.ResumeAccepting(c.Name) })
			return
		}
		t.what = c.Name + " answers nothing on new connections"
		f.harmLinks(t, c, append(s.controls(), s.gateways()...), func(a, b string) { s.d.HarmLink(a, b, LinkFault{HangsNew: true}) }, long)
	default: // two links between control instances
		harm, what := f.linkFault()
		t.what, t.isLasting = fmt.Sprintf("a link of %s to control instances: %s", c.Name, what), true
		f.harmLinks(t, c, s.controls()[:2], harm, long)
	}
}

func (f *soakFaults) harmLinks(t trouble, m *Member, peers []*Member, harm func(a, b string), d time.Duration) {
	peers = slices.DeleteFunc(peers, func(p *Member) bool { return p == m })
	f.during(t, d, func() {
		for _, p := range peers {
			harm(m.Name, p.Name)
		}
	}, func() {
		for _, p := range peers {
			f.s.d.HealLink(m.Name, p.Name)
		}
	})
}

// replaceControl replaces a control instance by one with another name and address.
func (f *soakFaults) replaceControl(c *Member) {
	s := f.s
	r := s.judge.begin(trouble{what: c.Name + " is replaced", isCore: true})
	defer s.judge.end(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.RemoveControl(c)
	_, err := s.d.AddControl(false)
	if err == nil {
		err = s.d.SetSeeds(f.pickSeeds())
	}
	if err != nil {
		s.judge.report("START", "%v", err)
	}
}

// pickSeeds returns the seeds of some control instances. The caller holds the soak's lock.
func (f *soakFaults) pickSeeds() []string {
	var seeds []string
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.rng.Perm(len(f.s.d.Controls))[:min(seedCount, len(f.s.d.Controls))] {
		seeds = append(seeds, f.s.d.SeedAt(f.s.d.Controls[i]))
	}
	return seeds
}

// harmAll does something to the whole deployment.
func (f *soakFaults) harmAll() {
	s := f.s
	switch f.number(5) {
	case 0, 1:
		f.killAll(f.number(2) == 0)
	case 2:
		r := s.judge.begin(trouble{what: "all connections are silent", isCore: true, isTotal: true})
		for _, c := range s.controls() {
			for _, m := range append(s.controls(), s.gateways()...) {
				s.d.BlackholeConnections(c.Name, m.Name)
			}
		}
		s.judge.end(r)
	case 3:
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := s.d.SetSeeds(f.pickSeeds()); err != nil {
			s.judge.report("START", "%v", err)
		}
	default:
		s.mu.Lock()
		g, err := s.d.AddGateway()
		s.boots[g.Name] = 1
		s.mu.Unlock()
		if err != nil {
			s.judge.report("START", "%v", err)
		}
		s.judge.end(s.judge.begin(trouble{what: g.Name + " is added", gateway: g.Name}))
	}
}

// killAll kills all control instances right after an acknowledgement, and all gateways if that is wanted, loses as
// many data folders as may be lost, and starts all again.
func (f *soakFaults) killAll(withGateways bool) {
	s := f.s
	controls := f.claimAll()
	if controls == nil {
		return
	}
	defer func() {
		s.sleep(catchUpTime)
		for _, c := range controls {
			f.release(c, f.lost)
		}
	}()
	before := s.judge.newest().version
	for range 200 {
		if s.judge.newest().version > before || s.ctx.Err() != nil {
			break
		}
		s.sleep(10 * time.Millisecond)
	}
	wiped := f.number((len(controls)-1)/2 + 1)
	r := s.judge.begin(trouble{what: fmt.Sprintf("all control instances are killed, %s lose their data, gateways too: %v", names(controls[:wiped]), withGateways), isCore: true, isTotal: true})
	var gateways []*Member
	if withGateways {
		gateways = f.claimGateways()
	}
	forEach(controls, (*Member).kill)
	forEach(gateways, func(g *Member) { s.stopGateway(g, g.Kill) })
	for _, c := range controls[:wiped] {
		if err := s.d.LoseData(c); err != nil {
			s.judge.report("START", "%v", err)
		}
	}
	s.sleep(f.between(100*time.Millisecond, time.Second))
	forEach(controls, s.startProcess)
	forEach(gateways, s.startGateway)
	for _, g := range gateways {
		f.release(g, f.touched)
	}
	s.judge.end(r)
}

func (m *Member) kill() {
	m.Thaw()
	m.Kill()
}

func forEach(members []*Member, do func(*Member)) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do(m)
		}()
	}
	wg.Wait()
}

// claimAll takes all control instances if none is lost, in random order, and otherwise returns nil.
func (f *soakFaults) claimAll() []*Member {
	for range 100 {
		controls := f.s.controls()
		f.mu.Lock()
		if len(f.lost) == 0 {
			f.rng.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
			for _, c := range controls {
				f.lost[c] = true
			}
			f.mu.Unlock()
			return controls
		}
		f.mu.Unlock()
		f.s.sleep(100 * time.Millisecond)
	}
	return nil
}

// claimGateways takes all gateways that have no fault.
func (f *soakFaults) claimGateways() []*Member {
	var out []*Member
	for _, g := range f.s.gateways() {
		f.mu.Lock()
		if !f.touched[g] {
			f.touched[g] = true
			out = append(out, g)
		}
		f.mu.Unlock()
	}
	return out
}

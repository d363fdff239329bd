package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// soakRoll replaces the build of all members during a soak, and keeps what callers with longer requests have seen.
type soakRoll struct {
	s      *soak
	builds [2]string // older, newer
	// plan is forward, back, halfway, or calm, which replaces nothing.
	plan string
	mu   sync.Mutex
	// build is the build that each member has now, by its name.
	build map[string]int
	runs  sync.Map // of servers, by prefix and request: *atomic.Int64
	// counts holds the ends of requests by kind.
	counts map[string]int
}

const (
	bookPrefix  = "/book/" // of requests that must not run twice
	slowPrefix  = "/slow/" // of requests whose answers take up to slowChunks*slowPause
	slowChunks  = 20
	slowPause   = 100 * time.Millisecond
	rollCallers = 24
	// rollPatience is longer than an answer takes.
	rollPatience = 8 * time.Second
	// rollLate is how much later than it could be an answer, with all tries, counts as late.
	rollLate = time.Second
)

func rollRoutes() []soakRoute {
	book := soakNewRoute("book", soakHost, bookPrefix, soakServices[0])
	book.Kind = "non_idempotent"
	slow := soakNewRoute("slow", soakHost, slowPrefix, soakServices[1])
	routes := []soakRoute{book, slow}
	for i := range routes {
		routes[i].TimeoutMs, routes[i].TargetLatencyMs = int(rollPatience.Milliseconds()), int(rollLate.Milliseconds())
	}
	return routes
}

// serve answers a request of the roll's callers, and reports whether it was one.
func (r *soakRoll) serve(ctx *fasthttp.RequestCtx) bool {
	if r == nil {
		return false
	}
	path, id := string(ctx.Path()), string(ctx.Request.Header.Peek(soakIDHeader))
	chunks, prefix := 1+len(id)%3, bookPrefix
	switch {
	case strings.HasPrefix(path, slowPrefix):
		chunks, prefix = slowChunks, slowPrefix
	case !strings.HasPrefix(path, bookPrefix):
		return false
	}
	n, _ := r.runs.LoadOrStore(prefix+id, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	body := bytes.Clone(ctx.Request.Body())
	pr, pw := io.Pipe()
	go func() {
		for i := range chunks {
			time.Sleep(slowPause)
			fmt.Fprintf(pw, "%d %s\n", i, body)
		}
		fmt.Fprintf(pw, "end %s\n", body)
		_ = pw.Close()
	}()
	ctx.SetBodyStream(pr, -1)
	return true
}

func (r *soakRoll) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

// runCaller sends requests over one kept connection to each gateway, which is open until the process is gone.
func (r *soakRoll) runCaller(n uint64) {
	rng := rand.New(rand.NewPCG(r.s.options.seed, 200+n))
	clients := make(map[string]*http.Client)
	for i := 0; r.s.isWorking(); i++ {
		prefix := []string{bookPrefix, slowPrefix}[i%2]
		r.request(rng, clients, prefix, fmt.Sprintf("roll-%d-%d", n, i))
		r.s.sleep(50 * time.Millisecond)
	}
}

// request sends a request until it is served, each time to another gateway, and a booking again only if it has
// not run.
func (r *soakRoll) request(rng *rand.Rand, clients map[string]*http.Client, prefix, name string) {
	gateways := r.s.gateways()
	order := rng.Perm(len(gateways))
	begun := time.Now()
	for try := range callerTries {
		if try > 0 {
			r.s.sleep(callerPause)
		}
		g := gateways[order[try%len(order)]]
		if clients[g.Name] == nil {
			clients[g.Name] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		}
		id := fmt.Sprint(name, "-", try)
		mayHaveRun, served := r.send(clients[g.Name], g, prefix, id)
		if !r.s.isWorking() {
			return
		}
		if served {
			r.count("served")
			if try > 0 {
				r.count("served after a retry")
			}
			if time.Since(begun) > slowChunks*slowPause+rollLate {
				r.count("late")
			}
			return
		}
		if mayHaveRun && prefix == bookPrefix {
			break // a caller can't send it again
		}
	}
	r.count("unserved")
}

// send sends a request once and judges the answer.
func (r *soakRoll) send(c *http.Client, g *Member, prefix, id string) (mayHaveRun, served bool) {
	boot, sent := r.s.boot(g), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), rollPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.CallerAddress()+prefix+"x", strings.NewReader(id))
	if err != nil {
		r.s.t.Error(err)
		return false, false
	}
	req.Host = soakHost
	req.Header.Set(soakIDHeader, id)
	req.Header.Set(soakKeyHeader, versionKey)
	resp, err := c.Do(req)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	runs := int64(0)
	if n, ok := r.runs.Load(prefix + id); ok {
		runs = n.(*atomic.Int64).Load()
	}
	j := r.s.judge
	switch {
	case err != nil && runs == 0:
		r.count("closed unread or refused")
	case err != nil:
		if j.wasOnlyStopped(g.Name, sent, time.Now()) {
			j.report("CUT", "%s at %s (start %d, now %d) was cut off after %s: %v", id, g.Name, boot, r.s.boot(g), time.Since(sent), err)
		}
	case resp.StatusCode == http.StatusOK:
		if !strings.HasSuffix(string(text), "end "+id+"\n") || strings.Count(string(text), id) != strings.Count(string(text), "\n") {
			j.report("ANSWER", "%s at %s got %.200q", id, g.Name, text)
		}
		return true, true
	default:
		r.count(fmt.Sprint("answers ", resp.StatusCode))
		if resp.Header.Get("Balsamlb-Not-Executed") != "" && runs > 0 {
			j.report("NOT-RUN", "%s says that %s has not run: %s", g.Name, id, text)
		}
	}
	return runs > 0, false
}

// wasOnlyStopped reports whether the gateway had no trouble in the time but planned stops.
func (j *soakJudge) wasOnlyStopped(gateway string, from, to time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, t := range j.troubles {
		isPlanned := strings.HasSuffix(t.what, "is stopped") || strings.HasSuffix(t.what, "is replaced")
		if (t.gateway == gateway || t.isTotal) && !isPlanned && t.overlaps(from, to, time.Second) {
			return false
		}
	}
	return true
}

// replace ends a member as an operator does and starts it with the build.
func (r *soakRoll) replace(f *soakFaults, m *Member, build int) {
	s := r.s
	t := trouble{what: m.Name + " is replaced", isCore: m.DataFolder != ""}
	if m.DataFolder == "" {
		t.gateway = m.Name
		f.during(t, f.between(10*time.Millisecond, 300*time.Millisecond), func() { s.stopGateway(m, m.Stop) }, func() { r.set(m, build); s.startGateway(m) })
		return
	}
	f.during(t, f.between(10*time.Millisecond, 300*time.Millisecond), m.Stop, func() { r.set(m, build); s.startProcess(m) })
	s.sleep(catchUpTime)
}

func (r *soakRoll) set(m *Member, build int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.path, r.build[m.Name] = r.builds[build], build
}

func (r *soakRoll) buildOf(m *Member) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.build[m.Name]
	if !ok { // started after the roll had begun
		for b = range r.builds {
			if m.path == r.builds[b] {
				return b
			}
		}
	}
	return b
}

// roll gives the share of the members the build, several at once, and returns once they have it.
func (r *soakRoll) roll(f *soakFaults, build int, share float64) {
	s := r.s
	s.mu.Lock()
	s.d.Layout.Binary = r.builds[build]
	s.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	for s.isWorking() {
		gateways, controls := s.gateways(), s.controls()
		var left []*Member
		all := append(controls, gateways...)
		for _, m := range all {
			if r.buildOf(m) != build {
				left = append(left, m)
			}
		}
		if float64(len(left)) <= (1-share)*float64(len(all)) {
			return
		}
		m, taken, most := left[f.number(len(left))], f.touched, 3
		if m.DataFolder != "" {
			taken, most = f.lost, (len(s.controls())-1)/2
		}
		if f.claim([]*Member{m}, taken, most) != nil {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer f.release(m, taken)
				r.replace(f, m, build)
			}()
		}
		s.sleep(f.between(200*time.Millisecond, time.Second))
	}
}

// runRoll rolls without other faults until the time is over.
func (f *soakFaults) runRoll() {
	end := time.Now().Add(f.s.options.duration)
	f.s.sleep(touchTime)
	f.s.options.roll.run(f)
	f.s.sleep(time.Until(end))
}

// run rolls as planned.
func (r *soakRoll) run(f *soakFaults) {
	switch r.plan {
	case "forward":
		r.roll(f, 1, 1)
	case "back":
		r.roll(f, 0, 1)
	case "halfway":
		r.roll(f, 1, 0.5)
		r.s.sleep(10 * time.Second)
		r.roll(f, 0, 1)
	}
}

// Guards against callers, bookings and documents that pay for an upgrade, a halt or a rollback beside faults of links,
// processes and data folders. BALSAMLB_OLD names an earlier build, with the setting advertise, and BALSAMLB_ROLL the plan.
func TestSoakOfRolls(t *testing.T) {
	t.Parallel()
	own := filepath.Join(binFolder, "balsamd")
	r := &soakRoll{plan: environment("BALSAMLB_ROLL", "forward"), build: make(map[string]int), counts: make(map[string]int)}
	r.builds = [2]string{environment("BALSAMLB_OLD", own), environment("BALSAMLB_NEW", own)}
	if r.builds[0] == r.builds[1] {
		t.Log("BALSAMLB_OLD names no earlier build: processes are replaced by the same build")
	}
	first := 0
	if r.plan == "back" || r.plan == "calm" && os.Getenv("BALSAMLB_CALM") == "newer" {
		first = 1
	}
	seed := soakNumber(t, "FIRST", 0)
	o := soakOptions{
		seed: uint64(seed), controls: soakNumber(t, "CONTROLS", 3), gateways: soakNumber(t, "GATEWAYS", 4), servers: 4, routes: 20, keys: 1,
		duration: time.Duration(soakNumber(t, "SECONDS", 25)) * time.Second, changeEvery: 300 * time.Millisecond, probeEvery: 50 * time.Millisecond,
		isQuiet: soakNumber(t, "QUIET", 0) > 0, controlMbps: 170, gatewayMbps: 20, binary: r.builds[first], roll: r,
	}
	s := startSoak(t, o)
	for _, m := range s.d.Members() {
		r.build[m.Name] = first
	}
	s.play()
	runs := 0
	r.runs.Range(func(id, n any) bool {
		runs++
		if n := n.(*atomic.Int64).Load(); n > 1 && strings.HasPrefix(id.(string), bookPrefix) {
			t.Errorf("TWICE: %s has run %d times", id, n)
		}
		return true
	})
	served, sent := r.counts["served"], r.counts["served"]+r.counts["unserved"]
	t.Logf("%s, quiet %t: %d of %d requests served (%.4f), %d ran: %v", r.plan, o.isQuiet, served, sent, float64(served)/float64(sent), runs, r.counts)
}

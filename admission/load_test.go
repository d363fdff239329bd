package admission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	loadPool    = "draft"
	tickEvery   = 20 * time.Millisecond
	reportEvery = 100 * time.Millisecond
	// blockedAfter is the time after which a start without room comes back.
	blockedAfter = 5 * time.Millisecond
	firstToken   = 80 * time.Millisecond
	tokenTime    = 3 * time.Millisecond
)

// What an answer earns by rank, in time and late.
var (
	inTimeValue = []float64{2.6, 1.5, 0.81}
	lateValue   = []float64{0.26, 0.38, 0.31}
	objectives  = []time.Duration{500 * time.Millisecond, 500 * time.Millisecond, time.Second}
	tokens      = []int{170, 280, 280}
	rates       = []float64{0.54, 0.285, 0.175}
)

// call is one caller's request with all its tries.
type call struct {
	id        int
	rank      int
	workspace string
	tokens    int
	at        time.Duration
	instance  int
	// retries is how often it comes back after a refusal; a caller that repeats waits 20 ms each time.
	retries int
	repeats bool

	// pace is by how many times longer the answer takes than instances predict, as on a slow card; 0 means 1.
	pace float64
	// impatience is the fraction of the time limit by which its caller understates its remaining time.
	impatience float64

	tries   int
	begunAt time.Duration
	isBegun bool
}

func (c *call) service() time.Duration {
	return firstToken + time.Duration(float64(c.tokens)*cmp.Or(c.pace, 1)*float64(tokenTime))
}

func (c *call) objective() time.Duration { return objectives[c.rank] }

// earned returns what the answer is worth.
func (c *call) earned() float64 {
	switch {
	case !c.isBegun:
		return 0
	case c.begunAt <= c.at+c.objective():
		return inTimeValue[c.rank]
	}
	return lateValue[c.rank]
}

// load is a pattern of calls and of what servers can run.
type load struct {
	name      string
	instances int
	length    time.Duration
	lag       time.Duration
	slots     float64
	// rate is the whole demand relative to the slots, by rank and time.
	rate func(rank int, at time.Duration) float64
	// room is the part of the slots that servers have; nil means all. Instances hear of it a second later.
	room func(at time.Duration) float64
	// forecast is what instances expect relative to the room; 0 means 1.
	forecast float64
	// impatience is the largest fraction of the time limit by which callers understate their remaining time. If it is
	// set, instances recognize retries only by that time; otherwise they know when each request first arrived.
	impatience float64
	// change alters a new call.
	change func(c *call, random *rand.Rand)
	// overload is set if rank 0 alone is more than the slots: the whole demand relative to them. The best order would
	// then serve only the small calls of rank 0, so the run is compared with one that has the same duties.
	overload float64
}

// defaultLength is the length of a load that names none.
const defaultLength = 20 * time.Second

// meanWork is the mean service time of a call in seconds.
func meanWork() float64 {
	sum := 0.0
	for rank, part := range rates {
		sum += part * (&call{rank: rank, tokens: tokens[rank]}).service().Seconds()
	}
	return sum
}

func (l *load) calls(seed uint64) []*call {
	random := rand.New(rand.NewPCG(seed, 7))
	perSecond := l.slots / meanWork()
	var calls []*call
	for rank, part := range rates {
		for at := time.Duration(0); ; {
			rate := perSecond * part * l.rate(rank, at)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= cmp.Or(l.length, defaultLength) {
				break
			}
			c := &call{
				rank: rank, at: at, retries: 1, instance: random.IntN(l.instances),
				workspace: fmt.Sprint("w", random.IntN(6)), tokens: tokens[rank]/2 + random.IntN(tokens[rank]),
			}
			if l.impatience > 0 {
				c.impatience = l.impatience * random.Float64()
			}
			if l.change != nil {
				l.change(c, random)
			}
			calls = append(calls, c)
		}
	}
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.at, b.at) })
	for i, c := range calls {
		c.id = i
	}
	return calls
}

// dutyPart returns the part of the calls of each rank that are served before more urgent ones.
func (l *load) dutyPart() float64 { return leastPart / max(1, l.overload) }

func (l *load) roomAt(at time.Duration) int {
	if l.room == nil || at < 0 {
		return int(l.slots)
	}
	return int(l.slots * l.room(at))
}

// run plays calls at the instances.
type run struct {
	load      *load
	instances []*Controller
	byID      map[string]*call
	running   int
	blocked   int
	patience  Patience
	// events are ordered from the latest to the next.
	events []event
	random *rand.Rand
	now    time.Duration
}

type event struct {
	at time.Duration
	do func()
}

func (r *run) after(d time.Duration, do func()) {
	at := r.now + d
	i, _ := slices.BinarySearchFunc(r.events, at, func(e event, at time.Duration) int { return cmp.Or(cmp.Compare(at, e.at), 1) })
	r.events = slices.Insert(r.events, i, event{at, do})
}

func (r *run) clock() time.Time { return epoch.Add(r.now) }

// play runs a load and returns its calls.
func (l *load) play(seed uint64) (*run, []*call) {
	calls := l.calls(seed)
	r := &run{load: l, byID: make(map[string]*call), random: rand.New(rand.NewPCG(seed, 9))}
	observeFirst(&r.patience, r.random, 100, l.impatience)
	for i := range l.instances {
		r.instances = append(r.instances, New(Options{MaxQueued: 256, Seed: seed + uint64(i), ReportLag: l.lag}))
	}
	for _, c := range calls {
		r.after(c.at, func() { r.try(c) })
	}
	end := cmp.Or(l.length, defaultLength) + 10*time.Second
	for at := time.Duration(0); at < end; at += tickEvery {
		r.after(at, r.tick)
	}
	for at := time.Duration(0); at < end && l.instances > 1; at += reportEvery {
		r.after(at, r.report)
	}
	for len(r.events) > 0 {
		last := len(r.events) - 1
		next := r.events[last]
		r.events, r.now = r.events[:last], next.at
		next.do()
	}
	return r, calls
}

func (r *run) tick() {
	for i, c := range r.instances {
		c.SetForecast(loadPool, Forecast{
			Slots: int(float64(r.load.roomAt(r.now-time.Second)) * cmp.Or(r.load.forecast, 1)), FirstToken: firstToken, Gap: tokenTime,
		})
		r.handle(i, c.Tick(r.clock()))
	}
}

// report tells each instance the demand of all others, after the lag.
func (r *run) report() {
	all := make(map[int]WorkspaceUsage)
	own := make([][]WorkspaceUsage, len(r.instances))
	for i, c := range r.instances {
		own[i] = c.RankUsage(loadPool)
		for _, u := range own[i] {
			all[u.Rank] = u.plus(all[u.Rank], 1)
		}
	}
	r.after(r.load.lag, func() {
		for i, c := range r.instances {
			rest := make(map[int]WorkspaceUsage)
			for rank, u := range all {
				rest[rank] = u
			}
			for _, u := range own[i] {
				rest[u.Rank] = rest[u.Rank].plus(u, -1)
			}
			var usage Usage
			for _, rank := range sortedKeys(rest) {
				usage = append(usage, rest[rank])
			}
			c.SetPeerUsage("others", usage)
		}
	})
}

func (u WorkspaceUsage) plus(o WorkspaceUsage, sign int) WorkspaceUsage {
	return WorkspaceUsage{
		Pool: loadPool, Rank: u.Rank, Running: u.Running + sign*o.Running, Waiting: u.Waiting + sign*o.Waiting,
		Arriving: u.Arriving + float64(sign)*o.Arriving,
	}
}

func (r *run) try(c *call) {
	c.tries++
	id := fmt.Sprint(c.id, "/", c.tries)
	r.byID[id] = c
	r.handle(c.instance, r.instances[c.instance].Arrive(r.clock(), Request{
		ID: id, Pool: loadPool, Workspace: c.workspace, Share: 1, MaxInFlight: 1000, Rank: c.rank,
		Deadline: epoch.Add(c.at + callersLimit), InTimeUntil: epoch.Add(r.inTimeUntil(c)), Objective: c.objective(), Caller: fmt.Sprint(c.id),
		Size: Size{Tokens: c.tokens}, ReturnAfter: r.returnAfter(c),
	}))
}

func (r *run) returnAfter(c *call) time.Duration {
	if r.load.impatience == 0 {
		return 0
	}
	return r.patience.RecognizedAfter(callersLimit, r.left(c), c.objective())
}

// left returns how long the caller of a call says that it waits.
func (r *run) left(c *call) time.Duration {
	return time.Duration((1-c.impatience)*float64(callersLimit)) - (r.now - c.at)
}

// inTimeUntil returns until when a call is in time, as far as instances know.
func (r *run) inTimeUntil(c *call) time.Duration {
	if r.load.impatience == 0 {
		return c.at + c.objective()
	}
	return r.now + c.objective() - r.patience.Waited(callersLimit, r.left(c))
}

func (r *run) handle(i int, actions []Action) {
	for _, a := range actions {
		c := r.byID[a.ID]
		switch a.Verdict {
		case Start:
			r.start(i, a.ID, c)
		case Refuse:
			if c.tries > c.retries || r.load.impatience == 0 && r.now > c.at+4*c.objective() {
				continue
			}
			wait := a.RetryAfter
			if c.repeats {
				wait = 20 * time.Millisecond
			}
			r.after(wait, func() { c.instance = r.random.IntN(r.load.instances); r.try(c) })
		}
	}
}

func (r *run) start(i int, id string, c *call) {
	if r.running >= r.load.roomAt(r.now) {
		r.blocked++
		r.after(blockedAfter, func() { r.handle(i, r.instances[i].Blocked(r.clock(), id)) })
		return
	}
	r.running++
	r.after(firstToken, func() {
		c.isBegun, c.begunAt = true, r.now
		r.instances[i].Begun(r.clock(), id)
	})
	r.after(c.service(), func() {
		r.running--
		r.handle(i, r.instances[i].Ended(r.clock(), id, true))
	})
}

// clairvoyant returns what calls can earn if all are known before: those that earn most for their work are placed
// first, each where there is room in time for it, and the rest late, if they can wait three objectives. With duties,
// a call's own work doesn't count but the mean of its rank, so that large calls aren't put last, and a quarter of the
// calls that have room in proportion are placed before all others, so that no rank is.
func (l *load) clairvoyant(calls []*call, duties bool) float64 {
	const bin = 20 * time.Millisecond
	room := make([]int, (max(l.length, defaultLength)+30*time.Second)/bin)
	for i := range room {
		room[i] = l.roomAt(time.Duration(i) * bin)
	}
	place := func(c *call, from, to time.Duration) bool {
		length := int((c.service() + bin - 1) / bin)
	search:
		for first := int(from / bin); first <= int(to/bin); first++ {
			for i := first + length - 1; i >= first; i-- {
				if room[i] == 0 {
					first = i
					continue search
				}
			}
			for i := range length {
				room[first+i]--
			}
			return true
		}
		return false
	}
	random := rand.New(rand.NewPCG(1, 11))
	perWork := func(c *call, value float64) float64 {
		if !duties {
			return value / c.service().Seconds()
		}
		if random.Float64() < l.dutyPart() {
			return math.Inf(1)
		}
		return value / (&call{tokens: tokens[c.rank]}).service().Seconds()
	}
	type offer struct {
		c            *call
		value, order float64
	}
	var offers []offer
	for _, c := range calls {
		offers = append(offers, offer{c, inTimeValue[c.rank], perWork(c, inTimeValue[c.rank])},
			offer{c, lateValue[c.rank], lateValue[c.rank] / c.service().Seconds()})
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return -cmp.Compare(a.order, b.order) })
	placed := make(map[*call]bool)
	sum := 0.0
	for _, o := range offers {
		last := o.c.at + o.c.objective() - firstToken
		if o.value == lateValue[o.c.rank] {
			last = o.c.at + maxWaitFactor*o.c.objective()
		}
		if !placed[o.c] && place(o.c, o.c.at, last) {
			placed[o.c] = true
			sum += o.value
		}
	}
	return sum
}

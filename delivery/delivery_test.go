package delivery

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// behaviour says how a fetch from a peer goes: it makes progress until progressFor, and ends at endsAfter.
type behaviour struct {
	kind        string
	progressFor time.Duration
	endsAfter   time.Duration
	isSound     bool
}

const fetchTime = 40 * time.Millisecond

var (
	sound    = behaviour{kind: "sound", progressFor: fetchTime, endsAfter: fetchTime, isSound: true}
	unsounds = []behaviour{
		{kind: "hanging", endsAfter: time.Second},
		{kind: "refusing"},
		{kind: "failing late", endsAfter: 200 * time.Millisecond},
		{kind: "hanging after a part", progressFor: 20 * time.Millisecond, endsAfter: time.Second},
	}
)

// player plays the fetches of a plan in steps of a millisecond.
type player struct {
	plan    *Plan
	now     time.Time
	peers   map[string]behaviour
	began   map[string]time.Time
	asked   []string
	inForce bool
}

func newPlayer(name string) *player {
	return &player{plan: New(name, 5*time.Second), now: time.Unix(1000, 0), peers: make(map[string]behaviour), began: make(map[string]time.Time)}
}

func (p *player) hear(address string, b behaviour, version uint64) {
	p.peers[address] = b
	p.plan.Heard(p.now, address, version)
}

// run plays until the time has passed or a document is in force.
func (p *player) run(d time.Duration) {
	for end := p.now.Add(d); ; p.now = p.now.Add(time.Millisecond) {
		p.endFetches()
		for {
			step := p.plan.Next(p.now)
			for _, address := range step.Cancel {
				delete(p.began, address)
				p.plan.Failed(p.now, address)
			}
			if step.Ask == "" {
				break
			}
			p.asked = append(p.asked, step.Ask)
			p.began[step.Ask] = p.now
			if p.peers[step.Ask].endsAfter == 0 {
				p.endFetches()
			}
		}
		if p.inForce || !p.now.Before(end) {
			return
		}
	}
}

func (p *player) endFetches() {
	for address, began := range p.began {
		b, age := p.peers[address], p.now.Sub(began)
		switch {
		case age < b.endsAfter && age <= b.progressFor:
			p.plan.Progress(p.now, address, assumedBytes/2000) // at most, over 2 s
		case age < b.endsAfter:
		case b.isSound:
			delete(p.began, address)
			p.plan.InForce(1)
			p.plan.Ended(address, 0)
			p.inForce = true
		default:
			delete(p.began, address)
			p.plan.Failed(p.now, address)
		}
	}
}

// Guards against a bound that grows with more than a quarter of a second for each peer that doesn't deliver.
func TestDocumentIsInForceWithinTheBound(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 1))
		p := newPlayer(fmt.Sprint("g", seed))
		bound := fetchTime
		story := ""
		for i := range 4 {
			b := unsounds[random.IntN(len(unsounds))]
			bound += time.Second/4 + b.progressFor
			story += b.kind + ", "
			p.hear(fmt.Sprint("10.0.0.", i), b, 1)
			if seed%2 == 0 { // else all name the version at the same moment
				p.run(time.Duration(random.IntN(400)) * time.Millisecond)
			}
		}
		p.hear("10.0.0.9", sound, 1)
		named := p.now
		p.run(bound + time.Second)
		if took := p.now.Sub(named); !p.inForce || took > bound {
			t.Errorf("seed %d: in force %v after %v, bound %v, others: %sasked %v", seed, p.inForce, took, bound, story, p.asked)
		}
	}
}

// Guards against a fetch from a slow peer that is doubled although it makes progress.
func TestSlowFetchIsLeftToEnd(t *testing.T) {
	is := is.New(t)
	p := newPlayer("g")
	for i := range 5 {
		p.hear(fmt.Sprint("10.0.0.", i), behaviour{progressFor: 2 * time.Second, endsAfter: 2 * time.Second, isSound: true}, 1)
	}
	p.run(3 * time.Second)
	is.True(p.inForce)
	is.Equal(len(p.asked), 1)
}

// Guards against two fetches in flight from one peer, and against fetches after the document is in force.
func TestNothingIsFetchedTwiceOrInVain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New("g", 0)
	p.Heard(now, "a", 1)
	is.Equal(p.Next(now).Ask, "a")
	for range 10 {
		now = now.Add(NoProgressTime)
		p.Heard(now, "a", 1)
		is.Equal(p.Next(now).Ask, "")
	}
	p.Heard(now, "b", 1)
	is.Equal(p.Next(now).Ask, "b")
	p.InForce(1)
	is.Equal(p.Next(now).Cancel, []string{"a", "b"})
	p.Failed(now, "a")
	p.Failed(now, "b")
	is.Equal(p.Next(now.Add(time.Minute)), Step{})
	// The peer that hung is not the first to be asked for the next version.
	p.Heard(now, "a", 2)
	p.Heard(now, "b", 2)
	is.Equal(p.Next(now).Ask, "b")
}

// Guards against a peer that answers with an older version than it named, and is asked without end.
func TestPeerIsTakenAtItsLatestWord(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New("g", 0)
	p.InForce(4)
	p.Heard(now, "a", 5)
	is.Equal(p.Next(now).Ask, "a")
	p.Ended("a", 4)
	is.Equal(p.Next(now), Step{})
}

// Guards against a version that a peer names while it is asked for the one before, and that is forgotten when that fetch ends.
func TestVersionNamedDuringAFetchIsAskedFor(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New("g", 0)
	p.Heard(now, "a", 5)
	is.Equal(p.Next(now).Ask, "a")
	p.InForce(5)
	p.Heard(now, "a", 6)
	p.Next(now)
	p.Ended("a", 5)
	is.Equal(p.Next(now).Ask, "a")
	p.Heard(now, "a", 6)
	p.Ended("a", 0) // it has sent an earlier document that was begun before
	is.Equal(p.Next(now).Ask, "a")
}

// Guards against all gateways of a fleet asking the peer that names a version first.
func TestFleetSpreadsOverThePeersThatHaveTheDocument(t *testing.T) {
	const gateways, peers = 195, 5
	now := time.Unix(1000, 0)
	asked, continued := make(map[string]int), make(map[string]int)
	for g := range gateways {
		p := New(fmt.Sprintf("gateway-%03d", g), time.Second)
		for i := range peers {
			p.Heard(now, fmt.Sprintf("10.0.0.%d:7", i), 1)
		}
		asked[p.Next(now).Ask]++
		// Where just one has it, that one is asked at once; the next part comes from another one that has it by then.
		p = New(fmt.Sprintf("gateway-%03d", g), time.Second)
		p.Heard(now, "10.0.0.0:7", 1)
		if p.Next(now).Ask != "10.0.0.0:7" {
			t.Fatal("the only peer with the document isn't asked")
		}
		for i := range peers {
			p.Heard(now, fmt.Sprintf("10.0.0.%d:7", i), 1)
		}
		next := "10.0.0.0:7"
		if !p.Part(now, next, Part{IsNew: true, Have: 1, Size: 2}) {
			p.Ended(next, 0)
			next = p.Next(now).Ask
		}
		continued[next]++
	}
	t.Log(asked, continued)
	for i := range peers {
		address := fmt.Sprintf("10.0.0.%d:7", i)
		if n := max(asked[address], continued[address]); n > 2*gateways/peers {
			t.Errorf("%d of %d gateways ask %s", n, gateways, address)
		}
	}
}

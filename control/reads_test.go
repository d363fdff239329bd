package control

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/routing"
)

// publish proposes a document until it is acknowledged.
func (g *quotaGroup) publish(version uint64) {
	g.commit(replica.Command{Publish: &replica.Publish{Version: version, Document: []byte{byte(version)}}})
}

// commit proposes a command until it is acknowledged.
func (g *quotaGroup) commit(c replica.Command) {
	data, err := c.Encode()
	if err != nil {
		g.t.Fatal(err)
	}
	for began := g.now; ; {
		g.awaitLeader(20 * time.Second)
		p := &proposal{data: data, result: make(chan proposalResult, 1)}
		leader := g.leader()
		leader.inputQueue.Offer(input{proposal: p})
		leader.wake()
		for len(p.result) == 0 {
			if g.run(quotaStep); g.now-began > 20*time.Second {
				g.t.Fatalf("%+v is not acknowledged", c)
			}
		}
		if r := <-p.result; r.err == nil {
			return
		}
	}
}

// longestLog returns the highest number of entries that a process has stored.
func (g *quotaGroup) longestLog() int {
	longest := 0
	for _, p := range g.processes {
		longest = max(longest, len(p.stored.Entries))
	}
	return longest
}

// read begins a read at a process.
func (p *quotaProcess) read() *read {
	r := &read{ctx: p.g.t.Context(), began: p.g.now, result: make(chan routing.Publication, 1)}
	p.queue(agreementCost, func() {
		p.inputQueue.Offer(input{read: r})
		p.wake()
	})
	return r
}

// Guards against reads that each add an entry to the log, which all control instances have to save, and that fail while a
// throttled leader's commits are late.
func TestReadsAddNothingToTheLog(t *testing.T) {
	for name, load := range quotaLoads {
		t.Run(name, func(t *testing.T) {
			g := newQuotaGroup(t, 1, load)
			g.awaitLeader(20 * time.Second)
			var took []time.Duration
			for version := uint64(1); version <= 30; version++ {
				g.publish(version)
				began, before := g.now, g.longestLog()
				_, electionsBefore, _ := g.elections()
				var reads []*read
				for _, p := range g.processes {
					reads = append(reads, p.read())
				}
				for i, r := range reads {
					for len(r.result) == 0 {
						if g.run(quotaStep); g.now-began > 10*time.Second {
							t.Fatalf("%s has not answered a read", g.processes[i].name)
						}
					}
					if got := <-r.result; got.Version != version {
						t.Fatalf("%s reads version %d after %d was acknowledged", g.processes[i].name, got.Version, version)
					}
				}
				took = append(took, g.now-began)
				_, elections, _ := g.elections() // each adds an entry
				if added := g.longestLog() - before; uint64(added) > elections-electionsBefore {
					t.Errorf("%d entries were added by reads", added)
				}
			}
			slices.Sort(took)
			t.Logf("the slowest of five reads: median %v, p90 %v", took[len(took)/2], took[len(took)*9/10])
		})
	}
}

// Guards against an instance that reads back an older document than was acknowledged, as others have replaced its leader.
func TestReplicaThatIsCutOffAnswersNoRead(t *testing.T) {
	g := newQuotaGroup(t, 1, quotaLoad{quota: quotaPeriod, sync: quotaStep})
	g.awaitLeader(20 * time.Second)
	g.publish(1)
	old := g.leader()
	g.run(time.Second)
	old.frozenUntil = g.now + 3*time.Second
	g.run(2 * time.Second)
	g.publish(2)
	r := old.read()
	for _, p := range g.processes {
		p.down = p != old // nobody tells it
	}
	g.run(5 * time.Second)
	if len(r.result) > 0 {
		t.Errorf("an instance without contact has read version %d", (<-r.result).Version)
	}
	ctx, cancel := context.WithCancel(t.Context())
	given := &read{ctx: ctx, began: g.now, result: make(chan routing.Publication, 1)}
	old.reads = append(old.reads, given)
	cancel()
	old.answerReads()
	if slices.Contains(old.reads, given) {
		t.Error("a read that was given up is kept")
	}
}

// propose proposes a command at the process.
func (p *quotaProcess) propose(c replica.Command) *proposal {
	data, err := c.Encode()
	if err != nil {
		p.g.t.Fatal(err)
	}
	proposed := &proposal{data: data, result: make(chan proposalResult, 1)}
	p.inputQueue.Offer(input{proposal: proposed})
	p.wake()
	return proposed
}

// Pattern: a leader freezes after it has sent the entry of a read to others, which then replace it. Guards against a later
// read there that takes the result of that entry: it may have been committed before what the later read must show.
func TestReadDoesNotTakeTheResultOfAnEarlierOne(t *testing.T) {
	g := newQuotaGroup(t, 1, quotaLoad{quota: quotaPeriod, sync: quotaStep})
	g.awaitLeader(20 * time.Second)
	g.publish(1)
	old := g.leader()
	read := replica.Command{Publish: &replica.Publish{}}
	earlier := old.propose(read)
	isSent := func() bool {
		return slices.ContainsFunc(g.processes, func(p *quotaProcess) bool {
			return p != old && slices.ContainsFunc(p.stored.Entries, func(e consensus.Entry) bool { return bytes.Equal(e.Data, earlier.data) })
		})
	}
	for began := g.now; !isSent(); g.run(quotaStep) {
		if g.now-began > time.Second {
			t.Fatal("the entry of the earlier read was not sent")
		}
	}
	old.frozenUntil = g.now + 3*time.Second
	g.run(2 * time.Second)
	if len(earlier.result) > 0 {
		t.Fatal("the earlier read was answered before the leader froze")
	}
	g.publish(2)
	later := old.propose(read)
	g.run(3 * time.Second)
	if len(later.result) == 0 {
		t.Fatal("the later read is neither answered nor refused")
	}
	if r := <-later.result; r.err == nil && r.result.Publish.Version < 2 {
		t.Errorf("a read that began after document 2 was acknowledged shows document %d", r.result.Publish.Version)
	}
}

// Pattern: processes halt, end and start again, and disks hang, in turn. Guards against reads, of either kind and at any
// instance, that show an older document than was acknowledged when they began.
func TestReadsAreNeverStale(t *testing.T) {
	names := []string{"c-0", "c-1", "c-2", "c-3", "c-4"}
	empty := replica.Command{Publish: &replica.Publish{}}
	type pending struct {
		atLeast    uint64
		began      time.Duration
		confirmed  *read
		proposed   *proposal
		isProposal bool
	}
	answered := map[bool]int{}
	for seed := range uint64(8) {
		g := newQuotaGroup(t, seed, quotaLoad{quota: quotaPeriod, sync: 5 * quotaStep})
		g.awaitLeader(20 * time.Second)
		var acked, version uint64
		var publishing *proposal
		var publishedAt time.Duration
		var reads []pending
		for end := g.now + 30*time.Second; g.now < end; g.run(quotaStep) {
			p := g.processes[g.rng.IntN(len(g.processes))]
			switch g.rng.IntN(400) {
			case 0:
				p.frozenUntil = g.now + time.Duration(g.rng.IntN(1000))*time.Millisecond
			case 1:
				p.syncUntil = g.now + time.Duration(g.rng.IntN(600))*time.Millisecond
			case 2:
				if !slices.ContainsFunc(g.processes, func(p *quotaProcess) bool { return p.down }) {
					p.down, p.jobs = true, nil
					g.at(g.now+time.Duration(g.rng.IntN(1000))*time.Millisecond, func() { p.start(names) })
				}
			}
			switch {
			case publishing == nil:
				version++
				fallthrough
			case g.now-publishedAt > 500*time.Millisecond:
				if !p.down {
					publishing, publishedAt = p.propose(replica.Command{Publish: &replica.Publish{Version: version, Document: []byte{1}}}), g.now
				}
			case len(publishing.result) > 0:
				if r := <-publishing.result; r.err == nil {
					acked, publishing = version, nil
				} else {
					publishedAt = 0
				}
			}
			if p = g.processes[g.rng.IntN(len(g.processes))]; !p.down && g.rng.IntN(10) == 0 {
				reads = append(reads, pending{atLeast: acked, began: g.now, confirmed: p.read()}, pending{atLeast: acked, began: g.now, proposed: p.propose(empty), isProposal: true})
			}
			reads = slices.DeleteFunc(reads, func(r pending) bool {
				var got uint64
				switch {
				case r.confirmed != nil && len(r.confirmed.result) > 0:
					got = (<-r.confirmed.result).Version
				case r.proposed != nil && len(r.proposed.result) > 0:
					result := <-r.proposed.result
					if result.err != nil {
						return true
					}
					got = result.result.Publish.Version
				default:
					return g.now-r.began > 5*time.Second
				}
				answered[r.isProposal]++
				if got < r.atLeast {
					t.Errorf("seed %d: a read that began when %d was acknowledged shows %d (by proposal: %v)", seed, r.atLeast, got, r.isProposal)
				}
				return true
			})
		}
		t.Logf("seed %d: %d documents acknowledged", seed, acked)
	}
	t.Logf("answered by confirmation %d, by proposal %d", answered[false], answered[true])
}

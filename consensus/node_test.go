package consensus

import (
	"fmt"
	"testing"

	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// cluster runs nodes in one goroutine over a network that can cut and drop.
type cluster struct {
	nodes   map[string]*Node
	ids     []string
	cut     map[string]bool
	applied map[string][]string
	flight  []Message
}

func newCluster(size int) *cluster {
	c := &cluster{nodes: map[string]*Node{}, cut: map[string]bool{}, applied: map[string][]string{}}
	for i := range size {
		c.ids = append(c.ids, fmt.Sprintf("n%d", i))
	}
	for i, id := range c.ids {
		c.nodes[id] = New(Options{ID: id, Voters: c.ids, ElectionTicks: 10, HeartbeatTicks: 2, Seed: uint64(i)}, HardState{}, nil)
	}
	return c
}

// settle does the work of all nodes and delivers messages until there are none.
func (c *cluster) settle() {
	for {
		for _, id := range c.ids {
			c.work(id)
		}
		if len(c.flight) == 0 {
			return
		}
		flight := c.flight
		c.flight = nil
		for _, m := range flight {
			if !c.cut[m.From] && !c.cut[m.To] {
				c.nodes[m.To].Step(m)
			}
		}
	}
}

func (c *cluster) work(id string) {
	n := c.nodes[id]
	r := n.Ready()
	for _, e := range r.Committed {
		if len(e.Data) > 0 {
			c.applied[id] = append(c.applied[id], string(e.Data))
		}
	}
	c.flight = append(c.flight, r.Messages...)
	n.Advance(r)
}

func (c *cluster) tick(count int) {
	for range count {
		for _, id := range c.ids {
			c.nodes[id].Tick()
		}
		c.settle()
	}
}

func (c *cluster) leader() *Node {
	for _, id := range c.ids {
		if !c.cut[id] && c.nodes[id].Role() == RoleLeader {
			return c.nodes[id]
		}
	}
	return nil
}

func TestLeaderCommitsWithAQuorum(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.tick(40)
	is.True(c.leader() != nil)
	_, _, err := c.leader().Propose([]byte("a"))
	is.NoErr(err)
	c.tick(4)
	for _, id := range c.ids {
		is.Equal(c.applied[id], []string{"a"})
	}
}

func TestIsolatedLeaderStepsDownAndCommitsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.tick(40)
	old := c.leader()
	c.cut[old.opts.ID] = true
	_, _, err := old.Propose([]byte("lost"))
	is.NoErr(err)
	c.tick(60)
	is.True(old.Role() != RoleLeader)
	is.True(c.leader() != nil)
	_, _, err = c.leader().Propose([]byte("kept"))
	is.NoErr(err)
	c.tick(4)
	c.cut[old.opts.ID] = false
	c.tick(60)
	for _, id := range c.ids {
		is.Equal(c.applied[id], []string{"kept"})
	}
}

func TestReturningNodeDoesNotDeposeTheLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	c.tick(40)
	leader := c.leader()
	var away string
	for _, id := range c.ids {
		if id != leader.opts.ID {
			away = id
		}
	}
	c.cut[away] = true
	c.tick(200)
	term := leader.Term()
	c.cut[away] = false
	c.tick(40)
	is.Equal(c.leader(), leader)
	is.Equal(leader.Term(), term)
}

func TestReplicasApplyTheSameCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "size"))
		proposed := 0
		steps := rapid.IntRange(5, 60).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				id := rapid.SampledFrom(c.ids).Draw(t, "cut")
				c.cut[id] = !c.cut[id]
			case 1:
				if l := c.leader(); l != nil {
					proposed++
					_, _, _ = l.Propose(fmt.Appendf(nil, "%d", proposed))
				}
			default:
				c.tick(rapid.IntRange(1, 30).Draw(t, "ticks"))
			}
			checkPrefixes(t, c)
		}
	})
}

func checkPrefixes(t *rapid.T, c *cluster) {
	for _, a := range c.ids {
		for _, b := range c.ids {
			x, y := c.applied[a], c.applied[b]
			for i := range min(len(x), len(y)) {
				if x[i] != y[i] {
					t.Fatalf("%s applied %q at %d, %s applied %q", a, x[i], i, b, y[i])
				}
			}
		}
	}
}

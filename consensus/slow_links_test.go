package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// slowLinks gives each pair of replicas a link of limited bandwidth with two lanes, as instance.ConsensusSender has:
// one for messages with entries or chunks, in order, and one for all others, which overtake them. What a lane still has
// isn't put into it again.
type slowLinks struct {
	// rate returns the bandwidth between two replicas in bytes per tick.
	rate  func(m Message) int
	lanes map[[2]string]*[2][]Message
	moved map[[2]string]int // bytes of the first message of the lane that have passed
	bytes int               // of entries and chunks
}

const (
	smallLane, largeLane = 0, 1
	messageBytes         = 200 // besides entries and chunks
)

func newSlowLinks(rate func(m Message) int) *slowLinks {
	return &slowLinks{rate: rate, lanes: map[[2]string]*[2][]Message{}, moved: map[[2]string]int{}}
}

func largeBytes(m Message) int {
	size := len(m.Chunk)
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

func (l *slowLinks) put(m Message) {
	key := [2]string{m.From, m.To}
	if l.lanes[key] == nil {
		l.lanes[key] = &[2][]Message{}
	}
	lane := smallLane
	if len(m.Entries) > 0 || len(m.Chunk) > 0 {
		lane = largeLane
	}
	isSame := func(o Message) bool { return o.Term == m.Term && o.PrevIndex == m.PrevIndex && o.Offset == m.Offset }
	if lane == largeLane && slices.ContainsFunc(l.lanes[key][lane], isSame) {
		return
	}
	l.lanes[key][lane] = append(l.lanes[key][lane], m)
	l.bytes += largeBytes(m)
}

// tick returns the messages that arrive within a tick, in order of the links.
func (l *slowLinks) tick(ids []string) []Message {
	var out []Message
	for _, from := range ids {
		for _, to := range ids {
			lanes := l.lanes[[2]string{from, to}]
			if lanes == nil {
				continue
			}
			out = append(out, lanes[smallLane]...)
			lanes[smallLane] = nil
			out = append(out, l.moveLarge([2]string{from, to}, lanes)...)
		}
	}
	return out
}

func (l *slowLinks) moveLarge(key [2]string, lanes *[2][]Message) []Message {
	var out []Message
	for len(lanes[largeLane]) > 0 {
		m := lanes[largeLane][0]
		if len(out) == 0 {
			l.moved[key] += l.rate(m)
		}
		if size := largeBytes(m) + messageBytes; l.moved[key] < size {
			return out
		} else {
			l.moved[key] -= size
		}
		out = append(out, m)
		lanes[largeLane] = lanes[largeLane][1:]
	}
	l.moved[key] = 0
	return out
}

const (
	documentBytes = 213_000
	tickMs        = 20
)

func document(i int) []byte {
	data := make([]byte, documentBytes)
	copy(data, fmt.Sprint(i))
	return data
}

// Guards against leaders that are lost behind large entries, and against entries that are sent again while they are on
// their way: ten documents within 2.2 s to four followers over links that take up to 2.1 s for each.
func TestLargeEntriesOverSlowLinksAreSentAboutOnce(t *testing.T) {
	for _, bytesPerSecond := range []int{100 << 10, 256 << 10, 1 << 20} {
		t.Run(fmt.Sprint(bytesPerSecond), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 5, 0, uint64(bytesPerSecond))
			leader := c.awaitLeader()
			term := c.replicas[leader].node.Term()
			perTick := bytesPerSecond * tickMs / 1000
			c.links = newSlowLinks(func(Message) int { return perTick })
			const documents = 10
			for i := range documents {
				_, _, err := c.replicas[leader].node.Propose(document(i))
				is.NoErr(err)
				c.tick(11)
			}
			c.tick(documents*documentBytes/perTick*11/10 + 50)
			for _, id := range c.ids {
				is.Equal(c.replicas[id].node.Term(), term)
				is.Equal(len(c.replicas[id].state), documents)
			}
			once := documents * documentBytes * 4
			t.Logf("sent %.2f times", float64(c.links.bytes)/float64(once))
			is.True(c.links.bytes <= once*12/10)
		})
	}
}

// Guards against followers that wait for a slow one: with one that takes 4 s for each document, the others apply it as
// soon as their links have carried it.
func TestSlowFollowerDelaysNobody(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, 0, 3)
	leader := c.awaitLeader()
	term := c.replicas[leader].node.Term()
	slow := c.others(leader)[0]
	c.links = newSlowLinks(func(m Message) int {
		if m.To == slow || m.From == slow {
			return documentBytes / 200
		}
		return documentBytes / 5
	})
	for i := range 12 {
		_, _, err := c.replicas[leader].node.Propose(document(i))
		is.NoErr(err)
		c.tick(11)
		for _, id := range c.others(slow) {
			is.Equal(len(c.replicas[id].state), i+1)
		}
	}
	is.Equal(c.replicas[slow].node.Term(), term)
	is.Equal(c.replicas[slow].node.Leader(), leader)
}

// Guards against chunks of a snapshot that are sent again at each heartbeat while they are on their way.
func TestSnapshotOverASlowLinkIsSentAboutOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 4)
	leader := c.awaitLeader()
	behind := c.others(leader)[0]
	c.setIsolated(behind, true)
	for i := range 5 {
		c.propose(t, string(document(i)))
	}
	for i := range retainedEntries + 10 {
		_, _, err := c.replicas[leader].node.Propose(fmt.Append(nil, "entry ", i))
		is.NoErr(err)
	}
	c.tick(5)
	c.compact(leader)
	c.compact(leader)
	term := c.replicas[leader].node.Term()
	c.links = newSlowLinks(func(Message) int { return 2048 })
	c.setIsolated(behind, false)
	size := len(c.replicas[leader].saved.snapshot.Data)
	c.tick(size/2048*12/10 + 50)
	is.Equal(len(c.replicas[behind].state), 5+retainedEntries+10)
	is.Equal(c.replicas[leader].node.Term(), term)
	t.Logf("sent %.2f times", float64(c.links.bytes)/float64(size))
	is.True(c.links.bytes <= size*14/10)
}

// Guards against a replica that doesn't know how much its leader has stored, and would then confirm an older copy of the
// leader's folder, since heartbeats overtake the entries that told it before.
func TestHeartbeatsTellWhatTheLeaderHasStored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 5)
	leader := c.awaitLeader()
	behind := c.others(leader)[0]
	c.links = newSlowLinks(func(m Message) int {
		if m.To == behind {
			return 0
		}
		return documentBytes
	})
	c.propose(t, "a")
	last := c.replicas[leader].node.log.lastPosition()
	is.True(c.replicas[behind].node.log.last() < last.Index)
	is.Equal(c.replicas[behind].node.voterRecords[folderKey{leader, c.replicas[leader].node.opts.Disk}].stored, last)
}

// Guards against a snapshot whose lost chunk is sent again the later the longer its receiver was cut off.
func TestSnapshotGoesOnSoonAfterAPartition(t *testing.T) {
	for _, cut := range []int{30, 100, 300, 1000} {
		c := newCluster(t, 3, 0, 5)
		c.propose(t, "a")
		leader := c.awaitLeader()
		slow := c.others(leader)[0]
		n := c.replicas[leader].node
		c.setIsolated(slow, true)
		c.propose(t, "b")
		p := n.peers[slow]
		p.stepBack(p.match)
		p.sent = nil
		n.log.snapshot = Snapshot{Index: n.log.commit, Term: n.hardState.Term, Membership: n.membership(), Data: encodeState(c.replicas[leader].state)}
		n.startSnapshot(slow, p) // its only chunk is lost
		c.tick(cut)
		c.setIsolated(slow, false)
		ticks := 0
		for ; ticks < 5000 && len(c.replicas[slow].state) < 2; ticks++ {
			c.tick(1)
		}
		if ticks > 60 {
			t.Errorf("cut off for %d ticks: caught up %d ticks after the end", cut, ticks)
		}
	}
}

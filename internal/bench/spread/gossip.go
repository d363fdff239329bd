package spread

import (
	"encoding/binary"
	"math/rand/v2"
	"time"
)

// gossip sends to one random node at a time what it knows to be newer there: the sender
// gives the age of all that it knows, the receiver answers with what is newer and with its
// own ages, and the sender sends the rest.
type gossip struct {
	knowledge
	id     int
	next   time.Time
	random *rand.Rand
}

const (
	gossipInterval = 100 * time.Millisecond
	// gossipFailAfter is the age at which a node counts as failed. The rounds that a state
	// needs to reach all nodes vary, so it is many rounds.
	gossipFailAfter = 2500 * time.Millisecond
)

const (
	gossipDigest = 1
	gossipReply  = 2
	gossipStates = 3
)

func newGossip(id, n int, now time.Time) protocol {
	return &gossip{
		knowledge: newKnowledge(n, now),
		id:        id,
		next:      now.Add(gossipInterval * time.Duration(id) / time.Duration(n)),
		random:    rand.New(rand.NewPCG(uint64(id), uint64(n))),
	}
}

// Tick starts a round when it is time.
func (g *gossip) Tick(now time.Time) []packet {
	if now.Before(g.next) {
		return nil
	}
	g.next = g.next.Add(gossipInterval)
	g.states[g.id] = newState(now)
	to := g.random.IntN(len(g.states) - 1)
	if to >= g.id {
		to++
	}
	return []packet{{to: to, data: g.digest(gossipDigest)}}
}

// digest holds the milliseconds of the newest state of each node.
func (g *gossip) digest(kind byte) []byte {
	b := binary.LittleEndian.AppendUint16([]byte{kind}, uint16(g.id))
	for _, s := range g.states {
		b = binary.LittleEndian.AppendUint32(b, uint32(s.madeMicros/1000))
	}
	return b
}

func (g *gossip) newer(digest []byte) []byte {
	var b []byte
	for i, s := range g.states {
		if 4*i+4 <= len(digest) && uint32(s.madeMicros/1000) > binary.LittleEndian.Uint32(digest[4*i:]) {
			b = appendState(b, i, s)
		}
	}
	return b
}

// Receive goes on with a round.
func (g *gossip) Receive(_ time.Time, data []byte) []packet {
	if len(data) < 3 {
		return nil
	}
	from := int(binary.LittleEndian.Uint16(data[1:]))
	digestBytes := 4 * len(g.states)
	switch data[0] {
	case gossipDigest:
		return []packet{{to: from, data: append(g.digest(gossipReply), g.newer(data[3:])...)}}
	case gossipReply:
		if len(data) < 3+digestBytes {
			return nil
		}
		rest := g.newer(data[3 : 3+digestBytes])
		g.take(data[3+digestBytes:])
		if len(rest) > 0 {
			return []packet{{to: from, data: append([]byte{gossipStates, 0, 0}, rest...)}}
		}
	case gossipStates:
		g.take(data[3:])
	}
	return nil
}

func (g *gossip) take(b []byte) {
	for ; len(b) >= stateBytes; b = b[stateBytes:] {
		g.merge(readState(b))
	}
}

// HasFailed reports that nothing new was heard of the node for too long.
func (g *gossip) HasFailed(now time.Time, other int) bool { return g.Age(now, other) > gossipFailAfter }

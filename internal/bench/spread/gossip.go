package spread

import (
	"encoding/binary"
	"math/rand/v2"
	"time"
)

// gossip is push-pull anti-entropy with one random node per round. The sender sends a digest of its
// states. The receiver replies with the states that it has in a newer version, and with its own
// digest. The sender then sends the states that it has in a newer version than the receiver.
type gossip struct {
	stateTable
	id        int
	nextRound time.Time
	random    *rand.Rand
}

const (
	gossipInterval = 100 * time.Millisecond
	// A node is considered failed when its newest known state is older than gossipFailAfter. That
	// time spans many rounds, because the number of rounds that a state needs to reach all nodes
	// varies.
	gossipFailAfter = 2500 * time.Millisecond
)

const (
	gossipDigest = 1
	gossipReply  = 2
	gossipStates = 3
)

func newGossip(id, n int, now time.Time) protocol {
	return &gossip{
		stateTable: newStateTable(n, now),
		id:         id,
		nextRound:  now.Add(gossipInterval * time.Duration(id) / time.Duration(n)),
		random:     rand.New(rand.NewPCG(uint64(id), uint64(n))),
	}
}

// Tick starts a round when one is due.
func (g *gossip) Tick(now time.Time) []packet {
	if now.Before(g.nextRound) {
		return nil
	}
	g.nextRound = g.nextRound.Add(gossipInterval)
	g.states[g.id] = newState(now)
	to := g.random.IntN(len(g.states) - 1)
	if to >= g.id {
		to++
	}
	return []packet{{to: to, data: g.digest(gossipDigest)}}
}

// digest encodes, for each node, when its newest known state was created, in milliseconds.
func (g *gossip) digest(kind byte) []byte {
	b := binary.LittleEndian.AppendUint16([]byte{kind}, uint16(g.id))
	for _, s := range g.states {
		b = binary.LittleEndian.AppendUint32(b, uint32(s.createdMicros/1000))
	}
	return b
}

func (g *gossip) newerStates(digest []byte) []byte {
	var b []byte
	for i, s := range g.states {
		if 4*i+4 <= len(digest) && uint32(s.createdMicros/1000) > binary.LittleEndian.Uint32(digest[4*i:]) {
			b = appendState(b, i, s)
		}
	}
	return b
}

// Receive handles the next message of a round.
func (g *gossip) Receive(_ time.Time, data []byte) []packet {
	if len(data) < 3 {
		return nil
	}
	from := int(binary.LittleEndian.Uint16(data[1:]))
	digestBytes := 4 * len(g.states)
	switch data[0] {
	case gossipDigest:
		return []packet{{to: from, data: append(g.digest(gossipReply), g.newerStates(data[3:])...)}}
	case gossipReply:
		if len(data) < 3+digestBytes {
			return nil
		}
		rest := g.newerStates(data[3 : 3+digestBytes])
		g.mergeStates(data[3+digestBytes:])
		if len(rest) > 0 {
			return []packet{{to: from, data: append([]byte{gossipStates, 0, 0}, rest...)}}
		}
	case gossipStates:
		g.mergeStates(data[3:])
	}
	return nil
}

func (g *gossip) mergeStates(b []byte) {
	for ; len(b) >= stateBytes; b = b[stateBytes:] {
		g.merge(readState(b))
	}
}

// HasFailed reports whether the newest state of the node is older than gossipFailAfter.
func (g *gossip) HasFailed(now time.Time, other int) bool { return g.Age(now, other) > gossipFailAfter }

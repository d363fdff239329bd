// Package spread compares protocols that disseminate the local state of each instance, its
// leases and its liveness, to all other instances. Each protocol is a state machine without
// I/O, and all of them run over the same UDP sockets on loopback in one process.
package spread

import (
	"encoding/binary"
	"time"
)

// leasesPerNode is the number of backend servers that announce themselves to one instance.
const leasesPerNode = 11

// packet is a message to a node.
type packet struct {
	to   int
	data []byte
}

// protocol is the state machine of one node.
type protocol interface {
	// Tick is called every tickInterval.
	Tick(now time.Time) []packet
	Receive(now time.Time, data []byte) []packet
	// HasFailed reports whether the node considers the other one failed.
	HasFailed(now time.Time, other int) bool
	// Age returns the age of the newest state that the node has of the other one.
	Age(now time.Time, other int) time.Duration
}

// tickInterval is the resolution of the timers.
const tickInterval = 5 * time.Millisecond

// state is what one node reports about itself. All nodes share one clock.
type state struct {
	createdMicros uint64
	leases        [leasesPerNode]byte
}

func newState(now time.Time) state {
	s := state{createdMicros: uint64(now.UnixMicro())}
	for i := range s.leases {
		s.leases[i] = byte(s.createdMicros >> i)
	}
	return s
}

func (s state) createdAt() time.Time { return time.UnixMicro(int64(s.createdMicros)) }

// stateBytes is the size of an encoded state: the node's number, the creation time and the
// leases.
const stateBytes = 2 + 8 + leasesPerNode

func appendState(b []byte, node int, s state) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(node))
	b = binary.LittleEndian.AppendUint64(b, s.createdMicros)
	return append(b, s.leases[:]...)
}

// readState reads a state from the front of b, which holds at least stateBytes.
func readState(b []byte) (node int, s state) {
	s.createdMicros = binary.LittleEndian.Uint64(b[2:])
	copy(s.leases[:], b[10:stateBytes])
	return int(binary.LittleEndian.Uint16(b)), s
}

// stateTable holds the newest known state of each node.
type stateTable struct {
	states []state
}

func newStateTable(n int, now time.Time) stateTable {
	t := stateTable{states: make([]state, n)}
	for i := range t.states {
		t.states[i].createdMicros = uint64(now.UnixMicro())
	}
	return t
}

func (t *stateTable) merge(node int, s state) bool {
	if node >= len(t.states) || s.createdMicros <= t.states[node].createdMicros {
		return false
	}
	t.states[node] = s
	return true
}

// Age returns the time since the newest known state of the node was created.
func (t *stateTable) Age(now time.Time, other int) time.Duration {
	return now.Sub(t.states[other].createdAt())
}

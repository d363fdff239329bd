// Package spread compares ways of spreading what each instance knows at first hand, its
// leases and that it is alive, to all other instances. Each way is a pure state machine, and
// all of them run over the same UDP sockets on loopback in one process.
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

// protocol is one node of one way.
type protocol interface {
	// Tick is called every tickInterval.
	Tick(now time.Time) []packet
	Receive(now time.Time, data []byte) []packet
	// HasFailed reports whether the node holds the other one failed.
	HasFailed(now time.Time, other int) bool
	// Age returns the age of what the node knows of the other one.
	Age(now time.Time, other int) time.Duration
}

// tickInterval is the grain of the timers.
const tickInterval = 5 * time.Millisecond

// state is what one node says of itself. All nodes share one clock.
type state struct {
	madeMicros uint64
	leases     [leasesPerNode]byte
}

func newState(now time.Time) state {
	s := state{madeMicros: uint64(now.UnixMicro())}
	for i := range s.leases {
		s.leases[i] = byte(s.madeMicros >> i)
	}
	return s
}

func (s state) made() time.Time { return time.UnixMicro(int64(s.madeMicros)) }

// stateBytes is the size of an encoded state: a node's number, its clock and its leases.
const stateBytes = 2 + 8 + leasesPerNode

func appendState(b []byte, node int, s state) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(node))
	b = binary.LittleEndian.AppendUint64(b, s.madeMicros)
	return append(b, s.leases[:]...)
}

// readState reads a state from the front of b, which holds at least stateBytes.
func readState(b []byte) (node int, s state) {
	s.madeMicros = binary.LittleEndian.Uint64(b[2:])
	copy(s.leases[:], b[10:stateBytes])
	return int(binary.LittleEndian.Uint16(b)), s
}

// knowledge is the newest state of each node.
type knowledge struct {
	states []state
}

func newKnowledge(n int, now time.Time) knowledge {
	k := knowledge{states: make([]state, n)}
	for i := range k.states {
		k.states[i].madeMicros = uint64(now.UnixMicro())
	}
	return k
}

func (k *knowledge) merge(node int, s state) bool {
	if node >= len(k.states) || s.madeMicros <= k.states[node].madeMicros {
		return false
	}
	k.states[node] = s
	return true
}

// Age returns the age of what is known of the node.
func (k *knowledge) Age(now time.Time, other int) time.Duration {
	return now.Sub(k.states[other].made())
}

package spread

import (
	"encoding/binary"
	"slices"
	"time"
)

// ring is a token ring after "The Raincore Distributed Session Service for Networking Elements",
// sections 2.1 to 2.3. One token, which carries the membership and the state of each member, passes
// from node to node. A node that gets no acknowledgement for the token removes the next node from
// the membership (failure-on-delivery). A node that has not received the token for too long
// (starvation) asks all nodes for permission to regenerate the token; the paper calls this message
// a 911 request. A node that holds the token, or has seen a newer copy of it, answers the request
// with a denial; the asking node then waits for the token again. A node that is not a member joins
// by sending such a request.
type ring struct {
	stateTable
	id       int
	members  []bool
	seq      uint64
	hasToken bool
	passAt   time.Time
	// awaitingAck is the node that has not acknowledged the token yet, -1 if there is none.
	awaitingAck   int
	tries         int
	retryAt       time.Time
	tokenLastSeen time.Time
	requestedAt   time.Time // when the open request to regenerate the token was sent, zero if there is none
	joining       []int
}

const (
	// ringRoundTime is the intended time for one round of the token.
	ringRoundTime = 500 * time.Millisecond
	// ringAckTimeout is how long a node waits for an acknowledgement before it sends the token
	// again. After ringMaxTries sends it removes the receiver from the membership.
	ringAckTimeout = 50 * time.Millisecond
	ringMaxTries   = 3
	// ringStarvationTimeout is the time without the token after which a node asks all nodes for
	// permission to regenerate it. The node regenerates the token when no denial arrives within
	// ringRequestTimeout.
	ringStarvationTimeout = 3 * ringRoundTime
	ringRequestTimeout    = 150 * time.Millisecond
)

const (
	ringToken   = 1
	ringAck     = 2
	ringRequest = 3
	ringDenial  = 4
)

func newRing(id, n int, now time.Time) protocol {
	r := &ring{stateTable: newStateTable(n, now), id: id, members: make([]bool, n), awaitingAck: -1, tokenLastSeen: now}
	for i := range r.members {
		r.members[i] = true
	}
	if id == 0 {
		r.hasToken = true
		r.passAt = now
	}
	return r
}

// Tick passes the token on, sends it again, or asks for permission to regenerate it, whichever is
// due.
func (r *ring) Tick(now time.Time) []packet {
	switch {
	case r.hasToken && !now.Before(r.passAt):
		return r.pass(now)
	case r.awaitingAck >= 0 && !now.Before(r.retryAt):
		return r.retry(now)
	case !r.hasToken && r.awaitingAck < 0 && now.Sub(r.tokenLastSeen) > ringStarvationTimeout:
		return r.requestToken(now)
	}
	return nil
}

func (r *ring) pass(now time.Time) []packet {
	r.states[r.id] = newState(now)
	for _, j := range r.joining {
		r.members[j] = true
	}
	r.joining = nil
	r.hasToken = false
	r.seq++
	r.tries = 0
	return r.send(now)
}

func (r *ring) send(now time.Time) []packet {
	r.awaitingAck = r.nextMember()
	if r.awaitingAck == r.id {
		// This node is the only member and keeps the token.
		r.awaitingAck = -1
		r.hasToken = true
		r.passAt = now.Add(ringRoundTime)
		r.tokenLastSeen = now
		return nil
	}
	r.tries++
	r.retryAt = now.Add(ringAckTimeout)
	return []packet{{to: r.awaitingAck, data: r.token()}}
}

func (r *ring) nextMember() int {
	for k := 1; k <= len(r.members); k++ {
		if next := (r.id + k) % len(r.members); r.members[next] {
			return next
		}
	}
	return r.id
}

// retry sends the token again; after the last try it removes the receiver and sends the token
// to the next member.
func (r *ring) retry(now time.Time) []packet {
	if r.tries >= ringMaxTries {
		r.members[r.awaitingAck] = false
		r.tries = 0
	}
	return r.send(now)
}

// requestToken asks all nodes for permission to regenerate the token. It regenerates the token when
// an earlier request got no denial within ringRequestTimeout.
func (r *ring) requestToken(now time.Time) []packet {
	if !r.requestedAt.IsZero() && now.Sub(r.requestedAt) > ringRequestTimeout {
		r.requestedAt = time.Time{}
		r.seq += uint64(len(r.members))
		r.hasToken = true
		r.passAt = now
		r.tokenLastSeen = now
		return nil
	}
	if !r.requestedAt.IsZero() {
		return nil
	}
	r.requestedAt = now
	return packetsToPeers(r.id, len(r.members), r.header(ringRequest))
}

func (r *ring) header(kind byte) []byte {
	b := binary.LittleEndian.AppendUint16([]byte{kind}, uint16(r.id))
	return binary.LittleEndian.AppendUint64(b, r.seq)
}

const ringHeaderBytes = 11

func (r *ring) token() []byte {
	b := r.header(ringToken)
	var bits byte
	for i, m := range r.members {
		if m {
			bits |= 1 << (i % 8)
		}
		if i%8 == 7 || i == len(r.members)-1 {
			b = append(b, bits)
			bits = 0
		}
	}
	for i, m := range r.members {
		if m {
			b = appendState(b, i, r.states[i])
		}
	}
	return b
}

// Receive handles the token, an acknowledgement, a request to regenerate the token, or the denial
// of such a request.
func (r *ring) Receive(now time.Time, data []byte) []packet {
	if len(data) < ringHeaderBytes {
		return nil
	}
	from := int(binary.LittleEndian.Uint16(data[1:]))
	seq := binary.LittleEndian.Uint64(data[3:])
	switch data[0] {
	case ringToken:
		return r.receiveToken(now, from, seq, data[ringHeaderBytes:])
	case ringAck:
		if from == r.awaitingAck && seq == r.seq {
			r.awaitingAck = -1
		}
	case ringRequest:
		return r.receiveRequest(from, seq)
	case ringDenial:
		r.requestedAt = time.Time{}
		r.tokenLastSeen = now
	}
	return nil
}

func (r *ring) receiveToken(now time.Time, from int, seq uint64, body []byte) []packet {
	if seq < r.seq {
		return nil // an outdated token, which has been regenerated meanwhile
	}
	ack := binary.LittleEndian.AppendUint16([]byte{ringAck}, uint16(r.id))
	ack = binary.LittleEndian.AppendUint64(ack, seq)
	if seq == r.seq {
		return []packet{{to: from, data: ack}}
	}
	bitBytes := (len(r.members) + 7) / 8
	if len(body) < bitBytes {
		return nil
	}
	count := 0
	for i := range r.members {
		r.members[i] = body[i/8]&(1<<(i%8)) != 0
		if r.members[i] {
			count++
		}
	}
	for b := body[bitBytes:]; len(b) >= stateBytes; b = b[stateBytes:] {
		r.merge(readState(b))
	}
	r.seq = seq
	r.awaitingAck = -1
	r.hasToken = true
	r.tokenLastSeen = now
	r.requestedAt = time.Time{}
	r.passAt = now.Add(ringRoundTime / time.Duration(max(1, count)))
	return []packet{{to: from, data: ack}}
}

func (r *ring) receiveRequest(from int, seq uint64) []packet {
	if !r.members[from] && !slices.Contains(r.joining, from) {
		r.joining = append(r.joining, from)
	}
	if r.seq > seq || r.seq == seq && r.id < from || r.hasToken {
		return []packet{{to: from, data: r.header(ringDenial)}}
	}
	return nil
}

// HasFailed reports whether the node is missing from the membership.
func (r *ring) HasFailed(_ time.Time, other int) bool { return !r.members[other] }

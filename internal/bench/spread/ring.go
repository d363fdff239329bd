package spread

import (
	"encoding/binary"
	"slices"
	"time"
)

// ring passes one token that carries the members and the state of each from node to node,
// after "The Raincore Distributed Session Service for Networking Elements", sections 2.1 to
// 2.3. A node that gets no acknowledgement for the token takes the next node off the
// membership (failure-on-delivery). A node that starves for the token asks all members for
// the right to make it anew (911); a member with a newer copy denies it. A node that is not a
// member and asks so joins.
type ring struct {
	knowledge
	id      int
	members []bool
	seq     uint64
	hasIt   bool
	passAt  time.Time
	// waiting is whom the token was sent to, -1 when it was acknowledged.
	waiting  int
	tries    int
	retryAt  time.Time
	lastSeen time.Time
	askedAt  time.Time // of the 911 that is open, zero when there is none
	joins    []int
}

const (
	// ringRound is the time of the token's round.
	ringRound = 500 * time.Millisecond
	// ringAck is after how long the token is sent again, ringTries how often.
	ringAck   = 50 * time.Millisecond
	ringTries = 3
	// ringStarving is the time without the token after which a node asks.
	ringStarving = 3 * ringRound
	ringAnswer   = 150 * time.Millisecond
)

const (
	ringToken = 1
	ringAcked = 2
	ringAsk   = 3
	ringDeny  = 4
)

func newRing(id, n int, now time.Time) protocol {
	r := &ring{knowledge: newKnowledge(n, now), id: id, members: make([]bool, n), waiting: -1, lastSeen: now}
	for i := range r.members {
		r.members[i] = true
	}
	if id == 0 {
		r.hasIt = true
		r.passAt = now
	}
	return r
}

// Tick passes the token on, sends it again, or asks for it.
func (r *ring) Tick(now time.Time) []packet {
	switch {
	case r.hasIt && !now.Before(r.passAt):
		return r.pass(now)
	case r.waiting >= 0 && !now.Before(r.retryAt):
		return r.retry(now)
	case !r.hasIt && r.waiting < 0 && now.Sub(r.lastSeen) > ringStarving:
		return r.starve(now)
	}
	return nil
}

func (r *ring) pass(now time.Time) []packet {
	r.states[r.id] = newState(now)
	for _, j := range r.joins {
		r.members[j] = true
	}
	r.joins = nil
	r.hasIt = false
	r.seq++
	r.tries = 0
	return r.send(now)
}

func (r *ring) send(now time.Time) []packet {
	r.waiting = r.nextMember()
	if r.waiting == r.id {
		// It is alone, and keeps the token.
		r.waiting = -1
		r.hasIt = true
		r.passAt = now.Add(ringRound)
		r.lastSeen = now
		return nil
	}
	r.tries++
	r.retryAt = now.Add(ringAck)
	return []packet{{to: r.waiting, data: r.token()}}
}

func (r *ring) nextMember() int {
	for k := 1; k <= len(r.members); k++ {
		if next := (r.id + k) % len(r.members); r.members[next] {
			return next
		}
	}
	return r.id
}

// retry sends the token again, and to the next node after the last try.
func (r *ring) retry(now time.Time) []packet {
	if r.tries >= ringTries {
		r.members[r.waiting] = false
		r.tries = 0
	}
	return r.send(now)
}

// starve asks all members, and makes the token anew when nobody denies it.
func (r *ring) starve(now time.Time) []packet {
	if !r.askedAt.IsZero() && now.Sub(r.askedAt) > ringAnswer {
		r.askedAt = time.Time{}
		r.seq += uint64(len(r.members))
		r.hasIt = true
		r.passAt = now
		r.lastSeen = now
		return nil
	}
	if !r.askedAt.IsZero() {
		return nil
	}
	r.askedAt = now
	return toAll(r.id, len(r.members), r.header(ringAsk))
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

// Receive takes the token, an acknowledgement, a 911 or its denial.
func (r *ring) Receive(now time.Time, data []byte) []packet {
	if len(data) < ringHeaderBytes {
		return nil
	}
	from := int(binary.LittleEndian.Uint16(data[1:]))
	seq := binary.LittleEndian.Uint64(data[3:])
	switch data[0] {
	case ringToken:
		return r.receiveToken(now, from, seq, data[ringHeaderBytes:])
	case ringAcked:
		if from == r.waiting && seq == r.seq {
			r.waiting = -1
		}
	case ringAsk:
		return r.receiveAsk(from, seq)
	case ringDeny:
		r.askedAt = time.Time{}
		r.lastSeen = now
	}
	return nil
}

func (r *ring) receiveToken(now time.Time, from int, seq uint64, body []byte) []packet {
	if seq < r.seq {
		return nil // an older token, which was made anew meanwhile
	}
	ack := binary.LittleEndian.AppendUint16([]byte{ringAcked}, uint16(r.id))
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
	r.waiting = -1
	r.hasIt = true
	r.lastSeen = now
	r.askedAt = time.Time{}
	r.passAt = now.Add(ringRound / time.Duration(max(1, count)))
	return []packet{{to: from, data: ack}}
}

func (r *ring) receiveAsk(from int, seq uint64) []packet {
	if !r.members[from] && !slices.Contains(r.joins, from) {
		r.joins = append(r.joins, from)
	}
	if r.seq > seq || r.seq == seq && r.id < from || r.hasIt {
		return []packet{{to: from, data: r.header(ringDeny)}}
	}
	return nil
}

// HasFailed reports that the node is not on the token's membership.
func (r *ring) HasFailed(_ time.Time, other int) bool { return !r.members[other] }

// Package intake decides which connections of clients a process holds, so that all of them together stay within a
// bound of memory and of descriptors. It answers crowds of clients that stop short of the end of a request, send
// slowly, or don't read: what makes way first is what costs ordinary clients least.
package intake

import (
	"container/list"
	"time"
)

// Stage is what a connection waits for.
type Stage int

// The stages. Only connections in the first three make way for others.
const (
	// Idle: no byte of a request has arrived.
	Idle Stage = iota
	// Arriving: a part of a request has arrived.
	Arriving
	// Unread: a part of an answer waits for the client to read it.
	Unread
	// Working: a request is whole. A server may work on it.
	Working
	// Closing: the connection was chosen to make way, and is being closed.
	Closing
	// Closed: the connection holds nothing any more.
	Closed
)

const (
	// arrivalTime is the age from which a request that still arrives makes way before all others. Requests of
	// ordinary clients arrive within a few round trips.
	arrivalTime = time.Second
	// unreadTime is how long a client must have read nothing before its connection makes way.
	unreadTime = time.Second
	// closingShare is the part of the limits by which new connections may exceed them while others are being closed.
	closingShare = 8
)

// Limits bound what all connections together hold; 0 means no bound.
type Limits struct {
	Bytes       int64
	Connections int
}

// Conn is a connection in an account. Its fields change only in methods of the account.
type Conn struct {
	// Owner is set by the caller of Open.
	Owner any

	stage  Stage
	from   Stage // before it made way
	since  time.Time
	bytes  int64 // charged, with queued
	queued int64
	wanted int64 // what it waits for
	place  *list.Element
	line   *list.Element // in the line of those that wait
}

// Stage returns the stage of the connection.
func (c *Conn) Stage() Stage { return c.stage }

// From returns the stage in which the connection was chosen to make way.
func (c *Conn) From() Stage { return c.from }

// Bytes returns what is charged to the connection.
func (c *Conn) Bytes() int64 { return c.bytes }

// Outcome lists what a change has led to.
type Outcome struct {
	// Close are the connections to close. Closed must be called once each of them has given its memory back.
	Close []*Conn
	// Granted are the connections that have got the bytes they waited for, and Refused those that get none.
	Granted []*Conn
	Refused []*Conn
}

// And returns the outcomes of two changes together.
func (o Outcome) And(next Outcome) Outcome {
	return Outcome{append(o.Close, next.Close...), append(o.Granted, next.Granted...), append(o.Refused, next.Refused...)}
}

// Account is the account of the connections of a process's clients. It isn't safe for concurrent use.
type Account struct {
	limits Limits
	used   int64
	// closing is the part of used of the connections that are being closed.
	closing int64
	wanted  int64
	counts  [Closed]int
	// stages holds the connections of the first three stages, those that entered it earliest first.
	stages [Working]*list.List
	line   *list.List
}

// New returns an account without connections.
func New(limits Limits) *Account {
	a := &Account{limits: limits, line: list.New()}
	for s := range a.stages {
		a.stages[s] = list.New()
	}
	return a
}

// Used returns the bytes that are charged, and Connections the number of connections.
func (a *Account) Used() int64 { return a.used }

// Connections returns the number of connections, with those that are being closed.
func (a *Account) Connections() int {
	n := 0
	for _, count := range a.counts {
		n += count
	}
	return n
}

// IsClosing reports whether connections are being closed.
func (a *Account) IsClosing() bool { return a.counts[Closing] > 0 }

// IsCrowded reports whether three quarters of the bytes are in use.
func (a *Account) IsCrowded() bool { return a.limits.Bytes > 0 && a.used > a.limits.Bytes/4*3 }

// Open adds a connection that is charged with some bytes. It returns nil if there is no room.
func (a *Account) Open(now time.Time, bytes int64) (*Conn, Outcome) {
	var out Outcome
	if limit := a.limits.Connections; limit > 0 {
		open := a.Connections()
		if open-a.counts[Closing] >= limit {
			a.makeWay(a.victim(now), &out)
		}
		if open-a.counts[Closing] >= limit || open >= limit+max(1, limit/closingShare) {
			return nil, out
		}
	}
	for a.excess(bytes) > a.closing {
		if !a.makeWay(a.victim(now), &out) {
			return nil, out
		}
	}
	if limit := a.limits.Bytes; limit > 0 && a.used+bytes > limit+limit/closingShare {
		return nil, out
	}
	c := &Conn{stage: Closed}
	a.enter(now, c, Idle)
	a.charge(c, bytes)
	return c, out
}

// excess returns by how many bytes the limit would be exceeded.
func (a *Account) excess(bytes int64) int64 {
	if a.limits.Bytes <= 0 {
		return 0
	}
	return max(0, a.used+a.wanted+bytes-a.limits.Bytes)
}

// Enter changes the stage of a connection to one of the first four, and reports whether it may: one that is being
// closed stays so.
func (a *Account) Enter(now time.Time, c *Conn, s Stage) bool {
	if c.stage >= Closing {
		return false
	}
	if c.stage != s {
		a.enter(now, c, s)
	}
	return true
}

func (a *Account) enter(now time.Time, c *Conn, s Stage) {
	if c.place != nil {
		a.stages[c.stage].Remove(c.place)
		c.place = nil
	}
	if c.stage != Closed {
		a.counts[c.stage]--
	}
	c.stage, c.since = s, now
	if s != Closed {
		a.counts[s]++
	}
	if s < Working {
		c.place = a.stages[s].PushBack(c)
	}
}

func (a *Account) charge(c *Conn, bytes int64) {
	a.used += bytes
	c.bytes += bytes
	if c.stage == Closing {
		a.closing += bytes
	}
}

// TryReserve charges bytes to a connection if nobody has to make way or waits for it.
func (a *Account) TryReserve(c *Conn, bytes int64) bool {
	if c.stage >= Closing || a.line.Len() > 0 || a.excess(bytes) > 0 {
		return false
	}
	a.charge(c, bytes)
	return true
}

// Reserve asks for bytes for a connection. It gets them at once, later, or not at all, as the outcomes of this and
// of later calls say; until then it must ask for nothing more.
func (a *Account) Reserve(now time.Time, c *Conn, bytes int64) Outcome {
	if c.stage >= Closing {
		return Outcome{Refused: []*Conn{c}}
	}
	c.wanted = bytes
	c.line = a.line.PushBack(c)
	a.wanted += bytes
	return a.settle(now)
}

// Release takes bytes back that were charged to a connection. Negative bytes are charged.
func (a *Account) Release(now time.Time, c *Conn, bytes int64) Outcome {
	if c.stage == Closed {
		return Outcome{}
	}
	a.charge(c, -bytes)
	return a.settle(now)
}

// Observe charges what the kernel's queues hold for a connection, in place of what was observed before.
func (a *Account) Observe(now time.Time, c *Conn, queued int64) Outcome {
	if c.stage == Closed {
		return Outcome{}
	}
	a.charge(c, queued-c.queued)
	c.queued = queued
	return a.settle(now)
}

// Closed removes a connection that holds nothing any more.
func (a *Account) Closed(now time.Time, c *Conn) Outcome {
	if c.stage == Closed {
		return Outcome{}
	}
	if c.stage == Closing {
		a.closing -= c.bytes
	}
	a.used -= c.bytes
	c.bytes = 0
	isWaiting := a.leaveLine(c)
	a.enter(now, c, Closed)
	out := a.settle(now)
	if isWaiting {
		out.Refused = append(out.Refused, c)
	}
	return out
}

// settle serves the line of those that wait for bytes, and chooses who makes way for them.
func (a *Account) settle(now time.Time) Outcome {
	var out Outcome
	for a.excess(0) > a.closing && a.makeWay(a.victim(now), &out) {
	}
	for a.line.Len() > 0 {
		c := a.line.Front().Value.(*Conn)
		switch {
		case a.limits.Bytes <= 0 || a.used+c.wanted <= a.limits.Bytes:
			a.charge(c, c.wanted)
			out.Granted = append(out.Granted, c)
		case a.used-a.closing+c.wanted > a.limits.Bytes:
			// Nobody makes way any more.
			out.Refused = append(out.Refused, c)
		default:
			return out // the closing connections will make room
		}
		a.leaveLine(c)
	}
	return out
}

// leaveLine takes a connection out of the line, and reports whether it was in it.
func (a *Account) leaveLine(c *Conn) bool {
	if c.line == nil {
		return false
	}
	a.line.Remove(c.line)
	c.line = nil
	a.wanted -= c.wanted
	c.wanted = 0
	return true
}

// makeWay begins to close a connection, if there is one. One that waits for bytes is refused them first, so that its
// client can be told.
func (a *Account) makeWay(c *Conn, out *Outcome) bool {
	if c == nil {
		return false
	}
	if a.leaveLine(c) {
		out.Refused = append(out.Refused, c)
		return true
	}
	c.from = c.stage
	a.enter(c.since, c, Closing)
	a.closing += c.bytes
	out.Close = append(out.Close, c)
	return true
}

// victim returns the connection that makes way next, or nil: requests that are arriving for long, idle connections,
// answers that aren't read, and then requests that have begun to arrive, the oldest of each first.
func (a *Account) victim(now time.Time) *Conn {
	arriving := first(a.stages[Arriving])
	if arriving != nil && now.Sub(arriving.since) >= arrivalTime {
		return arriving
	}
	if idle := first(a.stages[Idle]); idle != nil {
		return idle
	}
	if unread := first(a.stages[Unread]); unread != nil && now.Sub(unread.since) >= unreadTime {
		return unread
	}
	return arriving
}

func first(l *list.List) *Conn {
	if l.Len() == 0 {
		return nil
	}
	return l.Front().Value.(*Conn)
}

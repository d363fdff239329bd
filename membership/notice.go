package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// NoticeKind tells what a notice is about.
type NoticeKind uint8

// The kinds of notice.
const (
	// NoticeCrash counts the backend servers that died while they ran a request.
	NoticeCrash NoticeKind = 1
	// NoticeSuspect names a request that was in flight on a backend server that died.
	NoticeSuspect NoticeKind = 2
	// NoticeRelease is an operator's release of a request from quarantine.
	NoticeRelease NoticeKind = 3
)

// NoticeID identifies a notice: no two notices share one.
type NoticeID struct {
	// Origin is the instance that published the notice.
	Origin string
	// Incarnation is the origin's incarnation, since sequences restart with it.
	Incarnation uint64
	// Sequence grows with every notice of an incarnation, from 1.
	Sequence uint64
}

// Notice is a small fact that all instances of a data centre learn within a second.
type Notice struct {
	ID          NoticeID
	Kind        NoticeKind
	Fingerprint uint64
	// Servers are the names of backend servers that the notice is about, at most
	// MaxNoticeServers.
	Servers []string
	Count   uint32
	// Expires is when the notice ends, by this instance's clock.
	Expires time.Time
}

const (
	// MaxNoticeServers bounds the servers of one notice.
	MaxNoticeServers = 8
	// MaxNotices bounds the notices that an instance holds; the one that expires first is
	// dropped for a new one.
	MaxNotices = 512
)

// NoticeHandler receives the notices that other instances have published, each once in an
// incarnation of this instance. It must not block.
type NoticeHandler interface {
	HandleNotice(now time.Time, n Notice)
}

// Notices holds the notices that have not expired, of this instance and of others.
type Notices struct {
	self        string
	incarnation uint64
	sequence    uint64
	held        map[NoticeID]Notice
}

// NewNotices returns an empty set for the incarnation of the named instance.
func NewNotices(self string, incarnation uint64) *Notices {
	return &Notices{self: self, incarnation: incarnation, held: make(map[NoticeID]Notice)}
}

// Publish adds a notice of this instance and returns it with its identity.
func (s *Notices) Publish(now time.Time, n Notice) Notice {
	s.sequence++
	n.ID = NoticeID{Origin: s.self, Incarnation: s.incarnation, Sequence: s.sequence}
	if len(n.Servers) > MaxNoticeServers {
		n.Servers = n.Servers[:MaxNoticeServers]
	}
	s.put(now, n)
	return n
}

// Receive adds a notice of another instance and reports whether it was new.
func (s *Notices) Receive(now time.Time, n Notice) bool {
	if s.IsLocal(n.ID) {
		return false
	}
	if _, ok := s.held[n.ID]; ok || !now.Before(n.Expires) {
		return false
	}
	s.put(now, n)
	return true
}

func (s *Notices) put(now time.Time, n Notice) {
	s.expire(now)
	if len(s.held) >= MaxNotices {
		s.dropFirstToExpire()
	}
	s.held[n.ID] = n
}

func (s *Notices) expire(now time.Time) {
	for id, n := range s.held {
		if !now.Before(n.Expires) {
			delete(s.held, id)
		}
	}
}

func (s *Notices) dropFirstToExpire() {
	var first NoticeID
	found := false
	for id, n := range s.held {
		if !found || compareExpiry(n, s.held[first]) < 0 {
			first, found = id, true
		}
	}
	delete(s.held, first)
}

// All returns the notices that have not expired, the one that expires first in front.
func (s *Notices) All(now time.Time) []Notice {
	s.expire(now)
	out := make([]Notice, 0, len(s.held))
	for _, n := range s.held {
		out = append(out, n)
	}
	slices.SortFunc(out, compareExpiry)
	return out
}

func compareExpiry(a, b Notice) int {
	return cmp.Or(a.Expires.Compare(b.Expires), compareID(a.ID, b.ID))
}

func compareID(a, b NoticeID) int {
	return cmp.Or(
		cmp.Compare(a.Origin, b.Origin),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// Digest identifies the set of notices: equal sets have equal digests.
func (s *Notices) Digest(now time.Time) uint64 {
	s.expire(now)
	var sum uint64
	for id := range s.held {
		sum += id.hash()
	}
	return sum
}

func (id NoticeID) hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(id.Origin)
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], id.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], id.Sequence)
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// IsLocal reports whether this incarnation of this instance published the notice.
func (s *Notices) IsLocal(id NoticeID) bool {
	return id.Origin == s.self && id.Incarnation == s.incarnation
}

// Sequence returns the sequence of the last notice that was published here.
func (s *Notices) Sequence() uint64 { return s.sequence }

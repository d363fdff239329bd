package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// NoticeKind is the subject of a notice.
type NoticeKind uint8

// The kinds of notice.
const (
	// NoticeCrash counts the backend servers that crashed while they ran a request.
	NoticeCrash NoticeKind = 1
	// NoticeSuspect names the backend servers on which a suspect request starts to run.
	NoticeSuspect NoticeKind = 2
	// NoticeRelease is published when an operator releases a request from quarantine.
	NoticeRelease NoticeKind = 3
)

// NoticeID identifies a notice uniquely.
type NoticeID struct {
	// Origin is the instance that published the notice.
	Origin string
	// Incarnation is the origin's incarnation. It is part of the ID because sequences start again
	// with each incarnation.
	Incarnation uint64
	// Sequence grows with each notice of an incarnation, starting at 1.
	Sequence uint64
}

// Notice is a short message that reaches all instances of a data centre within a second.
type Notice struct {
	ID   NoticeID
	Kind NoticeKind
	// Fingerprint identifies, by its content, the request that the notice concerns; see package
	// quarantine.
	Fingerprint uint64
	// Servers are the names of the backend servers concerned, at most MaxNoticeServers.
	Servers []string
	Count   uint32
	// Presumed are the crashes of servers in Servers that are only presumed, at most MaxNoticeServers.
	Presumed []PresumedCrash
	// Expires is when the notice expires, by this instance's clock.
	Expires time.Time
}

// PresumedCrash is a crash of a backend server that is presumed since its lease ran out.
type PresumedCrash struct {
	Server      string
	Incarnation uint64
	// At is when the lease was found to have run out, by this instance's clock.
	At time.Time
}

const (
	// MaxNoticeServers bounds the servers of one notice.
	MaxNoticeServers = 8
	// MaxNotices bounds the notices that an instance holds. If it is exceeded, the notice that
	// expires first is dropped.
	MaxNotices = 512
)

// NoticeHandler receives the notices that other instances publish, each once per incarnation of
// this instance. It must not block.
type NoticeHandler interface {
	HandleNotice(now time.Time, n Notice)
}

// Notices holds the unexpired notices of this instance and of others. It is not safe for concurrent use.
type Notices struct {
	self        string
	incarnation uint64
	sequence    uint64
	notices     map[NoticeID]Notice
}

// NewNotices returns an empty set for an incarnation of the named instance.
func NewNotices(self string, incarnation uint64) *Notices {
	return &Notices{self: self, incarnation: incarnation, notices: make(map[NoticeID]Notice)}
}

// Publish adds a notice of this instance and returns it with its ID.
func (s *Notices) Publish(now time.Time, n Notice) Notice {
	s.sequence++
	n.ID = NoticeID{Origin: s.self, Incarnation: s.incarnation, Sequence: s.sequence}
	if len(n.Servers) > MaxNoticeServers {
		n.Servers = n.Servers[:MaxNoticeServers]
	}
	n.Presumed = n.Presumed[:min(len(n.Presumed), MaxNoticeServers)]
	s.put(now, n)
	return n
}

// Receive adds a notice of another instance and reports whether it was new.
func (s *Notices) Receive(now time.Time, n Notice) bool {
	if s.IsLocal(n.ID) {
		return false
	}
	if _, ok := s.notices[n.ID]; ok || !now.Before(n.Expires) {
		return false
	}
	s.put(now, n)
	return true
}

func (s *Notices) put(now time.Time, n Notice) {
	s.expire(now)
	if len(s.notices) >= MaxNotices {
		s.dropFirstToExpire()
	}
	s.notices[n.ID] = n
}

func (s *Notices) expire(now time.Time) {
	for id, n := range s.notices {
		if !now.Before(n.Expires) {
			delete(s.notices, id)
		}
	}
}

func (s *Notices) dropFirstToExpire() {
	var first NoticeID
	found := false
	for id, n := range s.notices {
		if !found || compareExpiry(n, s.notices[first]) < 0 {
			first, found = id, true
		}
	}
	delete(s.notices, first)
}

// All returns the unexpired notices, ordered by expiry.
func (s *Notices) All(now time.Time) []Notice {
	s.expire(now)
	out := make([]Notice, 0, len(s.notices))
	for _, n := range s.notices {
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

// Digest returns a hash of the set of notices; equal sets have equal digests.
func (s *Notices) Digest(now time.Time) uint64 {
	s.expire(now)
	var sum uint64
	for id := range s.notices {
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

// Sequence returns the sequence of the last notice that this instance published.
func (s *Notices) Sequence() uint64 { return s.sequence }

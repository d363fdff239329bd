package consensus

import (
	"encoding/binary"
	"errors"
	"slices"
)

// ErrMembership means that an encoded membership can't be decoded.
var ErrMembership = errors.New("consensus: corrupt membership encoding")

// maxVoters is the maximum number of voters in one group.
const maxVoters = 31

// Voter is one voter of the group.
type Voter struct {
	ID      string
	Address string
	// Disk is the random ID of the voter's data folder. A replica of the same name with another
	// data folder is not this voter.
	Disk uint64
	// Epoch identifies the latest start of the voter that the log records; see Options.Epoch.
	Epoch uint64
}

// Membership lists the voters of a group. Memberships are stored in the log. A replica uses the
// last one in its log, whether it is committed or not.
type Membership struct {
	// Group is the ID of the group; 0 means that the replica belongs to no group.
	Group uint64
	// Size is the number of voters that the leader maintains by adding and removing voters.
	Size   int
	Voters []Voter
}

// Voter returns the voter with the given name.
func (m Membership) Voter(id string) (Voter, bool) {
	i := slices.IndexFunc(m.Voters, func(v Voter) bool { return v.ID == id })
	if i < 0 {
		return Voter{}, false
	}
	return m.Voters[i], true
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// without returns a copy of the membership without the voter.
func (m Membership) without(id string) Membership {
	m.Voters = slices.DeleteFunc(slices.Clone(m.Voters), func(v Voter) bool { return v.ID == id })
	return m
}

// with returns a copy of the membership in which the voter was added or updated.
func (m Membership) with(v Voter) Membership {
	m = m.without(v.ID)
	m.Voters = append(m.Voters, v)
	return m
}

// Encode returns the membership in the encoding that the log stores.
func (m Membership) Encode() []byte {
	b := binary.LittleEndian.AppendUint64(nil, m.Group)
	b = binary.AppendUvarint(b, uint64(m.Size))
	b = binary.AppendUvarint(b, uint64(len(m.Voters)))
	for _, v := range m.Voters {
		b = appendString(b, v.ID)
		b = appendString(b, v.Address)
		b = binary.LittleEndian.AppendUint64(b, v.Disk)
		b = binary.LittleEndian.AppendUint64(b, v.Epoch)
	}
	return b
}

// DecodeMembership decodes the output of Membership.Encode.
func DecodeMembership(b []byte) (Membership, error) {
	r := reader{rest: b}
	m := Membership{Group: r.readUint64(), Size: int(r.readUvarint(maxVoters))}
	count := r.readUvarint(maxVoters)
	for range count {
		m.Voters = append(m.Voters, Voter{ID: r.readString(), Address: r.readString(), Disk: r.readUint64(), Epoch: r.readUint64()})
	}
	if r.invalid || len(r.rest) > 0 {
		return Membership{}, ErrMembership
	}
	return m, nil
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// reader decodes values from the front of a slice. After an error, invalid stays true.
type reader struct {
	rest    []byte
	invalid bool
}

const uint64Bytes = 8

func (r *reader) readUint64() uint64 {
	if len(r.rest) < uint64Bytes {
		r.invalid = true
		return 0
	}
	v := binary.LittleEndian.Uint64(r.rest)
	r.rest = r.rest[uint64Bytes:]
	return v
}

func (r *reader) readUvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || v > limit {
		r.invalid = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) readString() string {
	size := r.readUvarint(uint64(len(r.rest)))
	if r.invalid || size > uint64(len(r.rest)) {
		r.invalid = true
		return ""
	}
	s := string(r.rest[:size])
	r.rest = r.rest[size:]
	return s
}

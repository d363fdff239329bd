package routing

import "bytes"

// Verdict is the result of offering a document.
type Verdict uint8

// The verdicts.
const (
	// VerdictCurrent means that no document was offered and the current one was only read.
	VerdictCurrent Verdict = iota
	// VerdictAccepted means that the document is now in force, or already was.
	VerdictAccepted
	// VerdictOutdated means that a higher version is in force; nothing was changed.
	VerdictOutdated
	// VerdictConflict means that the same version is in force with different content.
	VerdictConflict
)

// Publication is the document in force in encoded form. Its version never decreases.
type Publication struct {
	Version uint64
	Bytes   []byte
}

// Offer puts the document in force if its version is higher than the current one. With version 0,
// Offer changes nothing and returns VerdictCurrent.
func (p *Publication) Offer(version uint64, document []byte) Verdict {
	switch {
	case version == 0:
		return VerdictCurrent
	case version > p.Version:
		p.Version = version
		p.Bytes = document
		return VerdictAccepted
	case version < p.Version:
		return VerdictOutdated
	case bytes.Equal(document, p.Bytes):
		return VerdictAccepted
	default:
		return VerdictConflict
	}
}

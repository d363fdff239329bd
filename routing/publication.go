package routing

import "bytes"

// Verdict says what became of an offered document.
type Verdict uint8

// The verdicts.
const (
	// VerdictCurrent means that the document was only read.
	VerdictCurrent Verdict = iota
	// VerdictAccepted means that the document is in force, or was already.
	VerdictAccepted
	// VerdictOutdated means that a higher version is in force; nothing has changed.
	VerdictOutdated
	// VerdictConflict means that the version is in force with another content.
	VerdictConflict
)

// Publication is the document in force, as its bytes. Versions only rise.
type Publication struct {
	Version uint64
	Bytes   []byte
}

// Offer puts the document in force if its version is higher than that of the one in force.
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

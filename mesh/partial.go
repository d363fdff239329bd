package mesh

import (
	"errors"
	"fmt"

	"github.com/balsamlb/balsamlb/instance/wire"
)

var (
	errDocumentTooLarge = errors.New("mesh: the document is too large")
	errOtherEncoding    = errors.New("mesh: the document has another encoding than the parts received so far")
	errTooManyDocuments = errors.New("mesh: parts of newer documents take the place of those of this one")
	errWrongHash        = errors.New("mesh: the text of the document has another hash than announced")
)

// maxPartials is the number of documents of which parts are kept.
const maxPartials = 2

// partialDocument is the begin of an encoded document.
type partialDocument struct {
	version, size, hash uint64
	bytes               []byte
}

// isComplete reports whether all parts have come.
func (p *partialDocument) isComplete() bool { return uint64(len(p.bytes)) == p.size }

// partialDocuments holds the documents of which parts have come, the newest last. It is not safe for concurrent use.
type partialDocuments struct {
	list []*partialDocument
}

// upTo returns the newest document whose version is at most the given one, or nil.
func (d *partialDocuments) upTo(version uint64) *partialDocument {
	for i := len(d.list) - 1; i >= 0; i-- {
		if d.list[i].version <= version {
			return d.list[i]
		}
	}
	return nil
}

// add adds a part. isNew is false if it was already there, or doesn't follow those that were.
func (d *partialDocuments) add(resp *wire.FetchRoutingResponse) (p *partialDocument, isNew bool, err error) {
	if resp.Size > maxDocumentBytes || resp.Offset+uint64(len(resp.Document)) > resp.Size {
		return nil, false, fmt.Errorf("%w: version %d, size %d, part of %d bytes at offset %d", errDocumentTooLarge, resp.Version, resp.Size, len(resp.Document), resp.Offset)
	}
	p = d.upTo(resp.Version)
	if p == nil || p.version != resp.Version {
		if resp.Offset > 0 {
			return nil, false, nil
		}
		p = &partialDocument{version: resp.Version, size: resp.Size, hash: resp.Hash}
		if !d.insert(p) {
			return nil, false, fmt.Errorf("%w: version %d", errTooManyDocuments, resp.Version)
		}
	}
	if p.size != resp.Size || p.hash != resp.Hash {
		return nil, false, fmt.Errorf("%w: version %d", errOtherEncoding, resp.Version)
	}
	if uint64(len(p.bytes)) != resp.Offset {
		return p, false, nil
	}
	p.bytes = append(p.bytes, resp.Document...)
	return p, true, nil
}

// insert adds a document and drops the oldest one if there are too many. It reports whether the new one was kept.
func (d *partialDocuments) insert(p *partialDocument) (isKept bool) {
	i := len(d.list)
	for i > 0 && d.list[i-1].version > p.version {
		i--
	}
	d.list = append(d.list[:i], append([]*partialDocument{p}, d.list[i:]...)...)
	if len(d.list) > maxPartials {
		d.list = d.list[1:]
		return i > 0
	}
	return true
}

// dropOldest removes the parts of the oldest document.
func (d *partialDocuments) dropOldest() { d.list = d.list[1:] }

// drop removes the parts of one version.
func (d *partialDocuments) drop(version uint64) {
	for i, p := range d.list {
		if p.version == version {
			d.list = append(d.list[:i:i], d.list[i+1:]...)
			return
		}
	}
}

// dropUpTo removes the parts of documents that are no longer needed.
func (d *partialDocuments) dropUpTo(version uint64) {
	for len(d.list) > 0 && d.list[0].version <= version {
		d.list = d.list[1:]
	}
}

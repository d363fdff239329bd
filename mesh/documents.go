package mesh

import (
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/rotisserie/eris"
)

const (
	// maxEarlierDocuments is the number of encoded documents before the one in force whose fetches may still be
	// completed, so that a fetch ends although documents change faster than it goes on.
	maxEarlierDocuments = 4
	// maxEarlierBytes bounds their size together.
	maxEarlierBytes = 4 << 20
)

// servedDocument is an encoded document with the hash of its text.
type servedDocument struct {
	routing.Publication
	hash uint64
}

// keepEarlier keeps the document in force, which is about to be replaced, for fetches that have begun. The caller holds
// the lock.
func (m *Mesh) keepEarlier() {
	if len(m.document.Bytes) == 0 || m.options.ControlAddress == "" {
		return
	}
	m.earlier = append(m.earlier, servedDocument{Publication: m.document, hash: m.documentHash})
	size, first := 0, len(m.earlier)
	for first > 0 && len(m.earlier)-first < maxEarlierDocuments {
		if size += len(m.earlier[first-1].Bytes); size > maxEarlierBytes {
			break
		}
		first--
	}
	m.earlier = append([]servedDocument(nil), m.earlier[first:]...)
}

// documentFor returns the document to serve: the one in force, or an earlier one of which the caller has a part.
func (m *Mesh) documentFor(req *wire.FetchRoutingRequest) servedDocument {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.earlier {
		if req.TakesParts && req.Offset > 0 && d.Version == req.Version {
			return d
		}
	}
	return servedDocument{Publication: m.document, hash: m.documentHash}
}

// FetchRouting returns the document in force if it is newer than the caller's: as a patch of the caller's document, or
// in parts, or whole, as the caller takes it.
func (m *Mesh) FetchRouting(req *wire.FetchRoutingRequest) (*wire.FetchRoutingResponse, error) {
	d := m.documentFor(req)
	resp := &wire.FetchRoutingResponse{Version: d.Version}
	if d.Version <= req.HaveVersion {
		return resp, nil
	}
	resp.Hash = d.hash
	patch, err := m.patchFor(d, req)
	if err != nil {
		return nil, err
	}
	switch {
	case patch != nil:
		resp.Document, resp.Patches = patch, true
	case req.TakesParts:
		setPart(resp, d, req)
	default:
		resp.Document = d.Bytes
	}
	return resp, nil
}

// patchFor returns a patch of the caller's document if it is smaller than the whole document and than a part, else nil.
func (m *Mesh) patchFor(d servedDocument, req *wire.FetchRoutingRequest) ([]byte, error) {
	if req.HaveHash == 0 || req.Offset > 0 {
		return nil, nil
	}
	patch, err := m.texts.Patch(d.Version, req.HaveVersion, req.HaveHash)
	if err != nil {
		return nil, eris.Wrapf(err, "mesh: patch of routing document %d for one with document %d", d.Version, req.HaveVersion)
	}
	if len(patch) >= len(d.Bytes) || len(patch) > instance.PartBytes {
		return nil, nil
	}
	return patch, nil
}

// setPart sets the part of the document at the offset of the request, or the first part if that is of another one.
func setPart(resp *wire.FetchRoutingResponse, d servedDocument, req *wire.FetchRoutingRequest) {
	size := uint64(len(d.Bytes))
	if req.Version == d.Version && req.Offset < size {
		resp.Offset = req.Offset
	}
	resp.Size = size
	resp.Document = d.Bytes[resp.Offset:min(resp.Offset+instance.PartBytes, size)]
}

package mesh

import "github.com/balsamlb/balsamlb/instance/wire"

// FetchRouting returns the document in force if it is newer than the caller's.
func (m *Mesh) FetchRouting(req *wire.FetchRoutingRequest) (*wire.FetchRoutingResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	resp := &wire.FetchRoutingResponse{Version: m.document.Version}
	if m.document.Version > req.HaveVersion {
		resp.Document, resp.Hash = m.document.Bytes, m.documentHash
	}
	return resp, nil
}

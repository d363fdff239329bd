package instance

import (
	"context"

	"github.com/balsamlb/balsamlb/instance/wire"
)

// PartBytes is the size of a part of an encoded routing document, and the most that a patch may have.
const PartBytes = 64 << 10

// FetchRouting returns the routing document, or a part of it, if it is newer than the caller's.
func (s *Server) FetchRouting(_ context.Context, req *wire.FetchRoutingRequest) (*wire.FetchRoutingResponse, error) {
	if s.watchSource == nil {
		return nil, errNotControl
	}
	return s.watchSource.FetchRouting(req)
}

// FetchRouting asks the control instance at the address for a whole routing document newer than have.
func (d Dialer) FetchRouting(ctx context.Context, address string, have uint64) (*wire.FetchRoutingResponse, error) {
	f := d.NewRoutingFetch(address, nil)
	defer f.Close()
	return f.Call(ctx, &wire.FetchRoutingRequest{HaveVersion: have})
}

// RoutingFetch fetches a routing document from one control instance over one connection. It is not safe for
// concurrent use.
type RoutingFetch struct {
	conn movingConn
}

// NewRoutingFetch returns a fetch from the control instance at the address. It opens no connection yet. onProgress,
// unless it is nil, is called from other goroutines when the connection was opened, with 0, and for each
// progressBytes or more that have come, with their number.
func (d Dialer) NewRoutingFetch(address string, onProgress func(bytes int)) *RoutingFetch {
	return &RoutingFetch{conn: d.newMovingConn(address, onProgress)}
}

// Call asks for a document or a part of one. It goes on as long as progressBytes come within silenceTime.
func (f *RoutingFetch) Call(ctx context.Context, req *wire.FetchRoutingRequest) (*wire.FetchRoutingResponse, error) {
	var resp *wire.FetchRoutingResponse
	err := f.conn.call(ctx, func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		resp, err = c.FetchRouting(ctx, req)
		return err
	})
	return resp, err
}

// Close closes the connection.
func (f *RoutingFetch) Close() { f.conn.close() }

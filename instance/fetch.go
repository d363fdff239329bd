package instance

import (
	"context"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
)

const (
	// PartBytes is the size of a part of an encoded routing document, and the most that a patch may have.
	PartBytes = 64 << 10
	// partTimeout bounds one call for a part of a document. What came before it is kept.
	partTimeout = time.Second
	// progressBytes is how much must come to count as progress: a fetch that receives less in a quarter of
	// partTimeout receives no part within partTimeout.
	progressBytes = PartBytes / 4
)

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
	conn peerConn
}

// NewRoutingFetch returns a fetch from the control instance at the address. It opens no connection yet. onProgress,
// unless it is nil, is called from other goroutines when the connection was opened, and as bytes come, for each
// progressBytes.
func (d Dialer) NewRoutingFetch(address string, onProgress func()) *RoutingFetch {
	return &RoutingFetch{conn: peerConn{dialer: d.withProgress(onProgress), address: address}}
}

// withProgress returns a dialer for one connection at a time that reports the progress on it. onProgress may be nil.
func (d Dialer) withProgress(onProgress func()) Dialer {
	if onProgress == nil {
		return d
	}
	received := 0
	d.onReceived = func(bytes int) {
		if received += bytes; bytes == 0 || received >= progressBytes {
			received = 0
			onProgress()
		}
	}
	return d
}

// Call asks for a document or a part of one, within partTimeout.
func (f *RoutingFetch) Call(ctx context.Context, req *wire.FetchRoutingRequest) (*wire.FetchRoutingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
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

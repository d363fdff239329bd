package instance

import (
	"context"

	"github.com/balsamlb/balsamlb/instance/wire"
)

// Exchanger calls Members and Fetch on other instances, with a new connection for each call.
// It is safe for concurrent use.
type Exchanger struct {
	dialer Dialer
}

// NewExchanger returns an exchanger.
func NewExchanger(d Dialer) *Exchanger { return &Exchanger{dialer: d} }

// Members returns the instances that the instance at the address knows.
func (e *Exchanger) Members(ctx context.Context, address string, req *wire.MembersRequest) (*wire.MembersResponse, error) {
	var resp *wire.MembersResponse
	err := e.call(ctx, address, func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		resp, err = c.Members(ctx, req)
		return err
	})
	return resp, err
}

// Fetch returns the current view of the instance at the address if it is newer than the request's. onProgress is called
// as NewRoutingFetch says, and the call goes on as long as that of a RoutingFetch.
func (e *Exchanger) Fetch(ctx context.Context, address string, req *wire.FetchRequest, onProgress func(bytes int)) (*wire.FetchResponse, error) {
	conn := e.dialer.newMovingConn(address, onProgress)
	defer conn.close()
	var resp *wire.FetchResponse
	err := conn.call(ctx, func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		resp, err = c.Fetch(ctx, req)
		return err
	})
	return resp, err
}

func (e *Exchanger) call(ctx context.Context, address string, f func(context.Context, wire.DRPCInstanceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pc := &peerConn{dialer: e.dialer, address: address}
	defer pc.close()
	return pc.call(ctx, f)
}

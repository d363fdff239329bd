package instance

import (
	"context"

	"github.com/balsamlb/balsamlb/instance/wire"
)

// Exchanger calls Members and Fetch on other instances, each over a connection of its own.
type Exchanger struct {
	dialer Dialer
}

// NewExchanger returns an exchanger.
func NewExchanger(d Dialer) *Exchanger { return &Exchanger{dialer: d} }

// Members asks the instance at the address whom it knows.
func (e *Exchanger) Members(ctx context.Context, address string, req *wire.MembersRequest) (*wire.MembersResponse, error) {
	var resp *wire.MembersResponse
	err := e.call(ctx, address, func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		resp, err = c.Members(ctx, req)
		return err
	})
	return resp, err
}

// Fetch returns the view in force at the address, when it is newer than the request's.
func (e *Exchanger) Fetch(ctx context.Context, address string, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	var resp *wire.FetchResponse
	err := e.call(ctx, address, func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		resp, err = c.Fetch(ctx, req)
		return err
	})
	return resp, err
}

func (e *Exchanger) call(ctx context.Context, address string, f func(context.Context, wire.DRPCInstanceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l := &link{dialer: e.dialer, address: address}
	defer l.close()
	return l.call(ctx, f)
}

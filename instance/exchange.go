package instance

import (
	"context"
	"encoding/json"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/rotisserie/eris"
)

// Exchanger calls Exchange and Fetch on other instances.
type Exchanger struct {
	links *links
}

// NewExchanger returns an exchanger without connections.
func NewExchanger(d Dialer) *Exchanger {
	return &Exchanger{links: newLinks(d)}
}

// Exchange sends req to the instance at the address.
func (e *Exchanger) Exchange(ctx context.Context, address string, req *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var resp *wire.ExchangeResponse
	err := e.links.get(address).call(ctx, func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		resp, err = c.Exchange(ctx, req)
		return err
	})
	return resp, err
}

// Fetch returns the view in force at the address, or false when it is not newer than have.
func (e *Exchanger) Fetch(ctx context.Context, address string, have uint64) (replica.View, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var view replica.View
	var resp *wire.FetchResponse
	err := e.links.get(address).call(ctx, func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		resp, err = c.Fetch(ctx, &wire.FetchRequest{HaveIndex: have})
		return err
	})
	if err != nil || len(resp.View) == 0 {
		return view, false, err
	}
	if err := json.Unmarshal(resp.View, &view); err != nil {
		return view, false, eris.Wrapf(err, "instance: decode view of %s", address)
	}
	return view, true, nil
}

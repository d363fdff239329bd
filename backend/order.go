package backend

import (
	"context"
	"net/http"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/placement"
	"github.com/rotisserie/eris"
)

// orderTimeout bounds the request that delivers an order; the server executes the order later.
const orderTimeout = time.Second

// OrderRequest is the body of an order. A server that checks fencing tokens refuses an order
// whose token is older than the newest that it has accepted, and accepts each token only once.
type OrderRequest struct {
	Fence       fleet.Fence      `json:"fence"`
	Incarnation uint64           `json:"incarnation"`
	Engine      placement.Engine `json:"engine"`
}

// SendOrder sends the order once.
func SendOrder(ctx context.Context, o placement.Order) (placement.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	c, err := dial(ctx, o.Server, o.Address)
	if err != nil {
		return placement.AnswerRefused, err
	}
	defer c.Close()
	if err := c.post(o.Address, PathOrder, OrderRequest{Fence: o.Fence, Incarnation: o.Incarnation, Engine: o.Engine}); err != nil {
		return placement.AnswerLost, err
	}
	if _, err := c.readResponse(maxControlBytes); err != nil {
		return placement.AnswerLost, err
	}
	switch {
	case c.resp.StatusCode == http.StatusOK:
		return placement.AnswerAccepted, nil
	case isRefusal(c.resp):
		return placement.AnswerRefused, eris.Wrapf(ErrRefused, "backend: order to %s", o.Server)
	}
	return placement.AnswerLost, eris.Errorf("backend: order to %s: status %d", o.Server, c.resp.StatusCode)
}

package fleet

import "cmp"

// Fence is a fencing token. It increases with the leader's term, and within a term with each order.
type Fence struct {
	Term   uint64 `json:"term"`
	Number uint64 `json:"number"`
}

// Compare compares two fencing tokens; the older token sorts first.
func (f Fence) Compare(g Fence) int {
	return cmp.Or(cmp.Compare(f.Term, g.Term), cmp.Compare(f.Number, g.Number))
}

// OrderState is the progress of a server with an order.
type OrderState string

// The states of an order.
const (
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
)

// OrderReport is what a server reports about the last order that it accepted.
type OrderReport struct {
	Fence  Fence      `json:"fence"`
	State  OrderState `json:"state"`
	Reason string     `json:"reason,omitempty"`
}

package lab

import (
	"errors"
	"fmt"
	"net"
)

// errNoNetwork means that every network of loopback addresses is in use.
var errNoNetwork = errors.New("lab: no network of loopback addresses is free")

const (
	firstNetwork = 16
	lastNetwork  = 254
	claimPort    = 7999
)

// ClaimNetwork reserves a loopback network, such as 127.16, that no other lab on the machine
// uses, and returns its first two octets. The reservation lasts until the listener is closed.
func ClaimNetwork() (string, net.Listener, error) {
	for n := firstNetwork; n <= lastNetwork; n++ {
		network := fmt.Sprintf("127.%d", n)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.255.254:%d", network, claimPort))
		if err == nil {
			return network, l, nil
		}
	}
	return "", nil, errNoNetwork
}

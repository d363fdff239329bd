package emulate

import (
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/settings"
)

// Defaults of a fleet.
const (
	// defaultRemoteDelay is the one-way delay between two data centres for which no link is
	// configured.
	defaultRemoteDelay     = 500 * time.Microsecond
	defaultActivationBytes = 8 << 10
	defaultKVBytes         = 4 << 10
	defaultPrefixTokens    = 16 << 10
)

// DataCentrePair names the two data centres that a link connects, in either order.
type DataCentrePair struct{ A, B string }

// Link describes the delay and the bandwidth of a network link, or those of a kind of accelerator,
// which apply to every hop from or to a server with that kind. The zero value adds no transfer
// time.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// BytesPerSecond is the bandwidth. 0 means unlimited.
	BytesPerSecond int
}

// Options describe the emulated backend servers of one process.
type Options struct {
	Servers []fleet.BackendServer
	// Announce holds, for each data centre, the addresses of the instances to which its servers
	// announce themselves.
	Announce map[string][]string
	// Links holds the links between data centres. A pair without a link has a delay of 500 µs
	// and unlimited bandwidth.
	Links map[DataCentrePair]Link
	// Accelerators holds the delay and bandwidth that each kind of accelerator adds to a hop.
	Accelerators map[string]Link
	// Peers are servers that other processes emulate. Their data centres and accelerators are
	// needed to compute the transfer time of a hop.
	Peers []fleet.BackendServer
	// ActivationBytes is the size of a token's activations between stages. 0 means 8 KiB.
	ActivationBytes int
	// KVBytes is the size of a token's KV cache in one layer. 0 means 4 KiB.
	KVBytes int
	// PrefixTokens is the size of each server's prefix cache. 0 means 16,384 tokens.
	PrefixTokens int
	// LayerLoad is the time to load one layer from the weight store. 0 means no delay.
	LayerLoad time.Duration
	// CallFaults holds the faults of plain calls by server name.
	CallFaults map[string]settings.CallFaults
}

func (o Options) withDefaults() Options {
	if o.ActivationBytes == 0 {
		o.ActivationBytes = defaultActivationBytes
	}
	if o.KVBytes == 0 {
		o.KVBytes = defaultKVBytes
	}
	if o.PrefixTokens == 0 {
		o.PrefixTokens = defaultPrefixTokens
	}
	return o
}

// serverFor returns the description of a stage's server. For a server that is not configured, it
// holds only the name and the address.
func (o Options) serverFor(ref backend.StageRef) fleet.BackendServer {
	for _, list := range [][]fleet.BackendServer{o.Servers, o.Peers} {
		for _, s := range list {
			if s.Address == ref.Address {
				return s
			}
		}
	}
	return fleet.BackendServer{Name: ref.Server, Address: ref.Address}
}

const bytesPerMegabit = 1_000_000 / 8

// FromSettings converts the settings of a fleet file to options.
func FromSettings(f settings.EmulatedFleet) Options {
	o := Options{
		Servers:         f.Servers,
		Announce:        f.Announce,
		Links:           make(map[DataCentrePair]Link),
		Accelerators:    make(map[string]Link),
		Peers:           f.Peers,
		ActivationBytes: f.ActivationBytes,
		KVBytes:         f.KVBytes,
		PrefixTokens:    f.PrefixTokens,
		CallFaults:      f.CallFaults,
		LayerLoad:       f.LayerLoad,
	}
	for _, l := range f.Links {
		a, b, _ := strings.Cut(l.Name, " ")
		o.Links[DataCentrePair{A: a, B: b}] = linkFromSettings(l)
	}
	for _, a := range f.Accelerators {
		o.Accelerators[a.Name] = linkFromSettings(a)
	}
	return o
}

func linkFromSettings(l settings.EmulatedLink) Link {
	return Link{Delay: time.Duration(l.DelayMicros) * time.Microsecond, BytesPerSecond: l.Megabits * bytesPerMegabit}
}

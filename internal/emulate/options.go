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
	// defaultRemoteDelay is the one-way delay between data centres without a link of their own.
	defaultRemoteDelay     = 500 * time.Microsecond
	defaultActivationBytes = 8 << 10
	defaultKVBytes         = 4 << 10
	defaultPrefixTokens    = 16 << 10
)

// DataCentrePair is two data centres, in either order.
type DataCentrePair struct{ A, B string }

// Link is what a hop crosses. The zero value costs nothing.
type Link struct {
	// Delay is one way.
	Delay time.Duration
	// BytesPerSecond is the bandwidth; 0 means unlimited.
	BytesPerSecond int
}

// Options describe the emulated backend servers of one process.
type Options struct {
	Servers []fleet.BackendServer
	// Announce lists the instances of each data centre.
	Announce map[string][]string
	// Links between data centres; pairs without one have 500 µs and no limit.
	Links map[DataCentrePair]Link
	// Accelerators hold what each kind of accelerator adds to a hop.
	Accelerators map[string]Link
	// Peers are the servers of other processes, so that the links to them are known.
	Peers []fleet.BackendServer
	// ActivationBytes is the size of a token's activations between stages; 0 means 8 KiB.
	ActivationBytes int
	// KVBytes is the size of the KV cache of a token in one layer; 0 means 4 KiB.
	KVBytes int
	// PrefixTokens is the size of each server's prefix cache; 0 means 16,384 tokens.
	PrefixTokens int
	// LayerLoad is the time to load one layer from the weight store; 0 loads at once.
	LayerLoad time.Duration
	// CallFaults are what goes wrong with plain calls, by server.
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

// serverFor returns what is known of a stage's serverFor.
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

// FromSettings returns the options that a fleet file describes.
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
		o.Links[DataCentrePair{A: a, B: b}] = newLinkCost(l)
	}
	for _, a := range f.Accelerators {
		o.Accelerators[a.Name] = newLinkCost(a)
	}
	return o
}

func newLinkCost(l settings.EmulatedLink) Link {
	return Link{Delay: time.Duration(l.DelayMicros) * time.Microsecond, BytesPerSecond: l.Megabits * bytesPerMegabit}
}

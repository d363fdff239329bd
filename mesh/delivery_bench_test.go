package mesh

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/klauspost/compress/zstd"
)

// BenchmarkChangeOfOneRoute measures a change of one of 1,400 routes, from a control instance to one that takes patches (a
// gateway) and to one that takes whole documents (a control instance), compressed as controllers do.
func BenchmarkChangeOfOneRoute(b *testing.B) {
	const routes = 1400
	var text strings.Builder
	for i := range routes {
		fmt.Fprintf(&text, `{"prefix":"/tenant-%04d/api/","service":"s%02d","kind":"repeatable","time_limit_ms":3000,"objective_ms":300,"priority":%d,"max_attempts":3,"split":[{"release":"r%d","weight":90},{"release":"r%d","weight":10}],"methods":["GET","POST"],"id":"%016x"},`+"\n",
			i, i*7919%83, i%4, i%17, i%13, uint64(i)*0x9e3779b97f4a7c15)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		b.Fatal(err)
	}
	for name, controlAddress := range map[string]string{"patch": "", "whole": "127.0.0.1:2"} {
		b.Run(name, func(b *testing.B) {
			decode := func([]byte) (*routing.Document, error) { return &routing.Document{}, nil }
			newMesh := func(address string, traffic *meter.Traffic) *Mesh {
				dialer, err := instance.NewDialer("127.0.0.1:0", nil, traffic)
				if err != nil {
					b.Fatal(err)
				}
				m, err := New(Options{Name: "g", ControlAddress: address, Dialer: dialer, Log: logr.Discard(), Decode: decode})
				if err != nil {
					b.Fatal(err)
				}
				return m
			}
			traffic := &meter.Traffic{}
			control, m := newMesh("127.0.0.1:1", &meter.Traffic{}), newMesh(controlAddress, traffic)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := instance.NewServer(nil, nil)
			s.SetWatchSource(control)
			ctx, cancel := context.WithCancel(b.Context())
			ended := make(chan error, 2)
			go func() { ended <- s.Serve(ctx, l) }()
			go func() { ended <- m.runFetches(ctx) }()
			version, before := uint64(0), uint64(0)
			change := func() {
				version++
				changed := strings.Replace(text.String(), fmt.Sprintf("/tenant-%04d/", version%routes), fmt.Sprintf("/changed-%d/", version), 1)
				if err := control.Publish(routing.Publication{Version: version, Bytes: encoder.EncodeAll([]byte(changed), nil)}); err != nil {
					b.Fatal(err)
				}
				m.mergeHeartbeat(l.Addr().String(), &wire.WatchBeat{RoutingVersion: version})
				for {
					c := m.Changed()
					if have, _ := m.Routing(); have == version {
						return
					}
					<-c
				}
			}
			change()
			before = traffic.Received()
			for b.Loop() {
				change()
			}
			b.ReportMetric(float64(traffic.Received()-before)/float64(b.N), "received-bytes/op")
			b.ReportMetric(float64(text.Len()), "text-bytes")
			cancel()
			for range cap(ended) {
				if err := <-ended; err != nil {
					b.Error(err)
				}
			}
		})
	}
}

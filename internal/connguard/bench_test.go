package connguard

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/balsamlb/balsamlb/intake"
)

// processorTime returns the processor time of this process in nanoseconds.
func processorTime() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkRequest measures requests one after the other on one connection.
func BenchmarkRequest(b *testing.B) {
	for _, isGuarded := range []bool{false, true} {
		name := map[bool]string{false: "plain", true: "guarded"}[isGuarded]
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(answerWhole)}
			served := l
			if isGuarded {
				g := New(Options{Limits: intake.Limits{Bytes: 64 << 20, Connections: 1000}})
				g.SetHeadLimits(HeadLimits{Bytes: 16 << 10, Time: 3e9, IdleTime: 15e9})
				served = g.Listener(l)
				server.ConnContext, server.ConnState = ConnContext, ConnState
			}
			go func() { _ = server.Serve(served) }()
			defer server.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			answers := bufio.NewReader(c)
			before := processorTime()
			for b.Loop() {
				if _, err := io.WriteString(c, get); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					b.Fatal(err)
				}
				_ = resp.Body.Close()
			}
			b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

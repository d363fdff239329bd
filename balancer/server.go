// Package balancer serves the balancer before the instances, and monitoring: liveness, readiness and
// metrics.
package balancer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Paths that are served.
const (
	PathLive    = "/livez"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// Readiness reports why the instance should get no new callers, or "".
type Readiness func() (reason string)

// NewServer returns the HTTP server for the balancer and monitoring.
func NewServer(ready Readiness, registry *prometheus.Registry) *fasthttp.Server {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return &fasthttp.Server{
		Name: "balsamlb",
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case PathLive:
				ctx.SetBodyString("alive\n")
			case PathReady:
				writeReadiness(ctx, ready())
			case PathMetrics:
				metrics(ctx)
			default:
				ctx.Error("not found", fasthttp.StatusNotFound)
			}
		},
	}
}

func writeReadiness(ctx *fasthttp.RequestCtx, reason string) {
	if reason == "" {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.Error(reason+"\n", fasthttp.StatusServiceUnavailable)
}

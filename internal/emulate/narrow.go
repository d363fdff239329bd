package emulate

import (
	"context"
	"io"
	"net"
	"time"
)

// NarrowLink listens on a loopback address and passes connections on to the target until ctx ends, in each direction a
// block of so many bytes at a time. All connections share the link.
func NarrowLink(ctx context.Context, target string, blockBytes int, every time.Duration) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	link := narrowLink{block: blockBytes, up: time.NewTicker(every), down: time.NewTicker(every)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go link.serve(ctx, c.(*net.TCPConn), target)
		}
	}()
	return l.Addr().String(), nil
}

type narrowLink struct {
	block    int
	up, down *time.Ticker
}

func (l narrowLink) serve(ctx context.Context, c *net.TCPConn, target string) {
	peer, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	end := func() {
		_ = c.Close()
		_ = peer.Close()
	}
	stop := context.AfterFunc(ctx, end)
	defer stop()
	defer end()
	// Small buffers keep the link from holding what the receiver no longer wants.
	_ = c.SetWriteBuffer(4 * l.block)
	_ = c.SetReadBuffer(4 * l.block)
	go func() {
		defer end()
		l.copy(ctx, peer, c, l.up)
	}()
	l.copy(ctx, c, peer, l.down)
}

// copy passes a block on with each turn.
func (l narrowLink) copy(ctx context.Context, to io.Writer, from io.Reader, turns *time.Ticker) {
	block := make([]byte, l.block)
	for {
		n, err := from.Read(block)
		if n > 0 {
			select {
			case <-turns.C:
			case <-ctx.Done():
				return
			}
			if _, err := to.Write(block[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

package instance

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/relay"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// maxKeptBuffer is the size in bytes above which a stream doesn't keep the buffer of a message that
// it has sent, as the first heartbeat to each watcher is large.
const maxKeptBuffer = 16 << 10

// Replica is a control instance's replica of the shared state.
type Replica interface {
	Receive(m consensus.Message)
	Propose(ctx context.Context, data []byte) (replica.Result, error)
	// Leader returns the address of the leader, or "" if it is unknown.
	Leader(ctx context.Context) string
}

// PeerHandler handles those requests of other instances that don't concern the replica.
type PeerHandler interface {
	// NewFeed returns the feed for a new subscriber.
	NewFeed(req *wire.SubscribeRequest) Feed
	// HandleMembersRequest records the instance that sent the request.
	HandleMembersRequest(req *wire.MembersRequest)
	// Self returns the description of this instance.
	Self() *wire.Member
	// Members returns the instances that this instance knows.
	Members() []*wire.Member
	// FetchView returns the current view if it is newer than the caller's.
	FetchView(req *wire.FetchRequest) (*wire.FetchResponse, error)
}

// Server serves the calls of other instances.
type Server struct {
	replica      Replica // nil unless this is a control instance
	peers        PeerHandler
	watchSource  WatchSource   // nil unless this server serves watches
	relayHandler relay.Handler // nil unless this server takes requests of others
	subscribers  atomic.Int64
}

// NewServer returns a server. r is nil on an instance without a replica.
func NewServer(r Replica, p PeerHandler) *Server {
	return &Server{replica: r, peers: p}
}

// Serve accepts connections on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterInstance(mux, s); err != nil {
		return eris.Wrap(err, "instance: register the RPC service")
	}
	options := drpcserver.Options{}
	options.Manager.Stream.MaximumBufferSize = maxKeptBuffer
	err := drpcserver.NewWithOptions(guarded{mux}, options).Serve(ctx, l)
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "instance: serve RPC calls")
}

// guarded reports calls to the guards of their connections.
type guarded struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h guarded) HandleRPC(stream drpc.Stream, rpc string) error {
	transport, _ := drpcctx.Transport(stream.Context())
	conn := connguard.Of(transport)
	if !conn.BeginCall() {
		return errNoRoom
	}
	defer conn.EndCall()
	return h.Handler.HandleRPC(guardedStream{stream, conn}, rpc)
}

// errNoRoom is returned for a call on a connection that makes way for others.
var errNoRoom = errors.New("instance: the connection is being closed for lack of room")

// guardedStream reports messages that have been received.
type guardedStream struct {
	drpc.Stream
	conn *connguard.Conn
}

// MsgRecv implements drpc.Stream.
func (s guardedStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	defer s.conn.EndMessage()
	return s.Stream.MsgRecv(msg, enc)
}

// Step passes consensus messages to the replica.
func (s *Server) Step(_ context.Context, req *wire.StepRequest) (*wire.StepResponse, error) {
	if s.replica == nil {
		return &wire.StepResponse{}, nil
	}
	for _, m := range req.Messages {
		if decoded, ok := fromWire(m); ok {
			s.replica.Receive(decoded)
		}
	}
	return &wire.StepResponse{}, nil
}

// Propose proposes a command to the replica and waits for its result.
func (s *Server) Propose(ctx context.Context, req *wire.ProposeRequest) (*wire.ProposeResponse, error) {
	if s.replica == nil {
		return &wire.ProposeResponse{Status: wire.ProposeResponse_STATUS_NOT_CONTROL}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMs)*time.Millisecond)
	defer cancel()
	result, err := s.replica.Propose(ctx, req.Command)
	if errors.Is(err, consensus.ErrNotLeader) {
		leader := s.replica.Leader(ctx)
		return &wire.ProposeResponse{Status: wire.ProposeResponse_STATUS_NOT_LEADER, Leader: leader}, nil
	}
	if err != nil {
		return &wire.ProposeResponse{Status: wire.ProposeResponse_STATUS_TIMEOUT}, nil
	}
	data, err := result.Encode()
	if err != nil {
		return nil, eris.Wrap(err, "instance: encode result")
	}
	return &wire.ProposeResponse{Status: wire.ProposeResponse_STATUS_APPLIED, Result: data}, nil
}

// Fetch returns the current view if it is newer than the caller's.
func (s *Server) Fetch(_ context.Context, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	if s.peers == nil {
		return nil, errSubscriptionsDisabled
	}
	return s.peers.FetchView(req)
}

package intake

const (
	// FreeMessage is the size in bytes up to which a message is covered by what its connection is charged. It bounds a
	// read, as the begin of the next message may come with the end of one.
	FreeMessage = 16 << 10
	// messageFactor is the memory that a message takes for each of its bytes: the read buffer, which grows by doubling,
	// the message put together from its frames, and its decoded form. keptFactor is the part that its connection
	// keeps, until keptMessages small ones have come.
	messageFactor = 3
	keptFactor    = 2
	keptMessages  = 16
	// maxHeld is the charge in bytes from which a connection makes way also in a call. Instances send frames of 64 KiB
	// and, but for a large document, messages of 0.5 MiB.
	maxHeld = 1 << 20
)

// Calls is the state of a connection that carries calls between instances, of which each consists of messages.
type Calls struct {
	isInCall bool
	// arrived is the size of what has arrived of a message, and queued of what waits in the kernel.
	arrived, queued int64
	// buffer is the size of the largest read buffer. kept is what else is kept after a large message, and small the
	// number of small ones since.
	buffer, kept int64
	small        int
}

// Stage returns the stage of the connection: in a call it makes way only for what a large message holds.
func (s *Calls) Stage() Stage {
	switch {
	case s.arrived+s.queued > FreeMessage, s.Cost() > maxHeld:
		return Arriving
	case s.isInCall:
		return Working
	default:
		return Idle
	}
}

// Cost returns what the connection is to be charged.
func (s *Calls) Cost() int64 {
	if s.arrived > FreeMessage {
		return max(s.buffer+s.kept, messageFactor*s.arrived)
	}
	return s.buffer + s.kept
}

// Read records a read into a buffer.
func (s *Calls) Read(n, buffer int) {
	s.arrived += int64(n)
	if buffer > FreeMessage {
		s.buffer = max(s.buffer, int64(buffer))
	}
}

// EndMessage records that a message has been received whole.
func (s *Calls) EndMessage() {
	if s.arrived > FreeMessage {
		s.kept, s.small = max(s.kept, keptFactor*s.arrived), 0
	} else if s.small++; s.small >= keptMessages {
		s.kept = 0
	}
	s.arrived = 0
}

// SetInCall records that a call has begun or ended.
func (s *Calls) SetInCall(isInCall bool) { s.isInCall, s.arrived = isInCall, 0 }

// SetQueued records what waits in the kernel to be read.
func (s *Calls) SetQueued(n int) { s.queued = int64(n) }

// Queued returns what waits in the kernel to be read.
func (s *Calls) Queued() int64 { return s.queued }

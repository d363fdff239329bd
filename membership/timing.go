package membership

import "time"

const (
	minHeartbeatInterval = 250 * time.Millisecond
	maxHeartbeatInterval = time.Second
	// heartbeatIntervalPerSubscriber limits an instance to about 42 heartbeats a second, until the
	// interval reaches maxHeartbeatInterval.
	heartbeatIntervalPerSubscriber = 24 * time.Millisecond
	// heartbeatTolerance is how late a heartbeat may arrive on a busy machine.
	heartbeatTolerance = 150 * time.Millisecond
	// firstHeartbeatTimeout bounds the time from dialling to the first heartbeat.
	firstHeartbeatTimeout = 500 * time.Millisecond

	membersIntervalPerMember = 200 * time.Millisecond
	minMembersInterval       = 2 * time.Second
)

// HeartbeatInterval returns how often an instance sends a heartbeat to each subscriber.
func HeartbeatInterval(subscribers int) time.Duration {
	return min(max(time.Duration(subscribers)*heartbeatIntervalPerSubscriber, minHeartbeatInterval), maxHeartbeatInterval)
}

// ConnectionTimeout returns how long a connection may be silent before it is closed. The peer may
// still be alive.
func ConnectionTimeout(interval time.Duration) time.Duration { return 2*interval + heartbeatTolerance }

// FailureTimeout returns how long a peer may be silent before it counts as failed. It leaves enough
// time to close a silent connection and to receive a heartbeat over a new one.
func FailureTimeout(interval time.Duration) time.Duration {
	return ConnectionTimeout(interval) + firstHeartbeatTimeout + heartbeatTolerance
}

// FirstHeartbeatTimeout returns how long a peer may take to send the first heartbeat over a new
// connection.
func FirstHeartbeatTimeout() time.Duration { return firstHeartbeatTimeout }

// ClockInterval is how often a subscriber sends its clock reading.
const ClockInterval = 5 * time.Second

// MembersInterval returns how often an instance that knows the given number of members asks one of
// them for its list of members.
func MembersInterval(members int) time.Duration {
	return max(time.Duration(members)*membersIntervalPerMember, minMembersInterval)
}

// MaxPeerReportAge returns how long a member of another region counts as alive after other
// instances last saw it.
func MaxPeerReportAge(members int) time.Duration {
	return 3*MembersInterval(members) + maxHeartbeatInterval
}

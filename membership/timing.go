package membership

import "time"

const (
	minBeatInterval = 250 * time.Millisecond
	maxBeatInterval = time.Second
	// beatPerMember keeps the beats that an instance sends near 42 a second.
	beatPerMember = 24 * time.Millisecond
	// beatSlack is how much later than its time a beat may come on a busy machine.
	beatSlack = 150 * time.Millisecond
	// answerTime bounds the time from dialling to the first beat.
	answerTime = 500 * time.Millisecond

	membersPerMember   = 200 * time.Millisecond
	minMembersInterval = 2 * time.Second
)

// HeartbeatInterval returns how often an instance sends to each of its subscribers.
func HeartbeatInterval(subscribers int) time.Duration {
	return min(max(time.Duration(subscribers)*beatPerMember, minBeatInterval), maxBeatInterval)
}

// ConnectionTimeout returns the silence after which a connection is given up, though the peer may
// be alive.
func ConnectionTimeout(beat time.Duration) time.Duration { return 2*beat + beatSlack }

// FailureTimeout returns the silence after which a peer counts as failed. It leaves time to give
// up a silent connection and to hear the peer over a new one.
func FailureTimeout(beat time.Duration) time.Duration {
	return ConnectionTimeout(beat) + answerTime + beatSlack
}

// FirstHeartbeatTimeout returns how long a peer may take to send the first beat over a new connection.
func FirstHeartbeatTimeout() time.Duration { return answerTime }

// ClockInterval is how often a subscriber sends its clock.
const ClockInterval = 5 * time.Second

// MembersInterval returns how often an instance asks another one whom it knows.
func MembersInterval(members int) time.Duration {
	return max(time.Duration(members)*membersPerMember, minMembersInterval)
}

// MaxPeerReportAge returns the age up to which what others heard of a member of another region
// is taken as a sign that it is alive.
func MaxPeerReportAge(members int) time.Duration { return 3*MembersInterval(members) + maxBeatInterval }

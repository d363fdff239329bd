package lab

import "syscall"

// Partition stops all traffic between two instances without closing connections.
func (r *relays) Partition(a, b string) {
	r.PartitionOneWay(a, b)
	r.PartitionOneWay(b, a)
}

// PartitionOneWay stops what one instance sends to the other. No connection between them can be opened
// meanwhile.
func (r *relays) PartitionOneWay(from, to string) {
	r.update(func() { r.partitioned[instancePair{from: from, to: to}] = true })
}

// Heal ends all partitions.
func (r *relays) Heal() {
	r.update(func() { r.partitioned = make(map[instancePair]bool) })
}

// HealLink ends the partitions and faults between two instances.
func (r *relays) HealLink(a, b string) {
	p := instancePair{from: a, to: b}
	r.update(func() {
		for _, d := range []instancePair{p, p.reverse()} {
			delete(r.partitioned, d)
			delete(r.faults, d)
		}
	})
}

// HarmLink puts a fault on the link between two instances.
func (r *relays) HarmLink(a, b string, f LinkFault) {
	p := instancePair{from: a, to: b}
	r.update(func() { r.faults[p], r.faults[p.reverse()] = f, f })
}

// ResetConnections resets the open connections between two instances.
func (r *relays) ResetConnections(a, b string) {
	p := instancePair{from: a, to: b}
	r.reset(func(c instancePair) bool { return c == p || c == p.reverse() })
}

// BlackholeConnections stops all traffic on the open connections between two instances for
// good, without closing them. New connections work.
func (r *relays) BlackholeConnections(a, b string) {
	p := instancePair{from: a, to: b}
	r.update(func() {
		r.epoch[p]++
		r.epoch[p.reverse()]++
	})
}

// HealAll ends all partitions and faults of links.
func (r *relays) HealAll() {
	r.update(func() {
		r.partitioned = make(map[instancePair]bool)
		r.faults = make(map[instancePair]LinkFault)
	})
}

// maxBacklog is more than the kernel allows for connections that wait to be accepted.
const maxBacklog = 1 << 16

// PauseAccepting lets no new connections to the instance be set up: the kernel drops their first packets, and
// the caller's kernel sends them again after a second. Open connections live on.
func (r *relays) PauseAccepting(name string) { r.setAccepting(name, true, 0) }

// ResumeAccepting ends PauseAccepting.
func (r *relays) ResumeAccepting(name string) { r.setAccepting(name, false, maxBacklog) }

func (r *relays) setAccepting(name string, isPaused bool, backlog int) {
	r.update(func() {
		r.paused[name] = isPaused
		if c, err := r.listeners[name].SyscallConn(); err == nil {
			_ = c.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) })
		}
	})
}

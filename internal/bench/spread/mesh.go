package spread

import (
	"encoding/json"
	"time"

	"github.com/balsamlb/balsamlb/membership"
)

// mesh sends the local state to every other node at the heartbeat interval.
type mesh struct {
	stateTable
	id       int
	nextSend time.Time
}

func newMesh(id, n int, now time.Time) protocol {
	interval := membership.HeartbeatInterval(n - 1)
	return &mesh{stateTable: newStateTable(n, now), id: id, nextSend: now.Add(interval * time.Duration(id) / time.Duration(n))}
}

// Tick sends the local state when it is due.
func (m *mesh) Tick(now time.Time) []packet {
	if now.Before(m.nextSend) {
		return nil
	}
	m.nextSend = m.nextSend.Add(membership.HeartbeatInterval(len(m.states) - 1))
	return packetsToPeers(m.id, len(m.states), appendState(nil, m.id, newState(now)))
}

func packetsToPeers(id, n int, data []byte) []packet {
	var out []packet
	for to := range n {
		if to != id {
			out = append(out, packet{to: to, data: data})
		}
	}
	return out
}

// Receive merges the state of another node.
func (m *mesh) Receive(_ time.Time, data []byte) []packet {
	if len(data) >= stateBytes {
		m.merge(readState(data))
	}
	return nil
}

// HasFailed reports whether the newest state of the node is older than membership.FailureTimeout
// allows.
func (m *mesh) HasFailed(now time.Time, other int) bool {
	return m.Age(now, other) > membership.FailureTimeout(membership.HeartbeatInterval(len(m.states)-1))
}

// jsonMesh is the protocol of the first version: five times a second each node sends all its
// members and leases, as JSON, to every other node, which answers with its own member list.
type jsonMesh struct {
	stateTable
	id       int
	nextSend time.Time
}

const (
	jsonInterval  = 200 * time.Millisecond
	jsonFailAfter = 1500 * time.Millisecond
)

type jsonMember struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	DataCentre    string `json:"data_centre"`
	Incarnation   uint64 `json:"incarnation"`
	ConfigVersion uint64 `json:"config_version"`
	SharedIndex   uint64 `json:"shared_index"`
	LastSeenMs    uint64 `json:"heard_ms"`
}

type jsonLease struct {
	Announcement string `json:"announcement"`
	Sequence     uint64 `json:"sequence"`
	RemainingMs  uint64 `json:"remaining_ms"`
}

type jsonMessage struct {
	From          int          `json:"from"`
	CreatedMicros uint64       `json:"made_micros"`
	Answer        bool         `json:"answer"`
	Members       []jsonMember `json:"members"`
	Leases        []jsonLease  `json:"leases,omitempty"`
}

const jsonAnnouncement = `{"name":"kandy-advice-12","incarnation":1796332800000000000,"sequence":4211,"address":"127.0.2.112:9000",` +
	`"data_centre":"kandy","accelerator":"kind-2","model":"icing-7b","layers":{"from":0,"to":16},"slots":8,"step_micros":4000,` +
	`"prefill_micros":50,"load":{"running":3,"queued":1}}`

func newJSONMesh(id, n int, now time.Time) protocol {
	return &jsonMesh{stateTable: newStateTable(n, now), id: id, nextSend: now.Add(jsonInterval * time.Duration(id) / time.Duration(n))}
}

func (m *jsonMesh) message(now time.Time, answer bool) []byte {
	msg := jsonMessage{From: m.id, CreatedMicros: uint64(now.UnixMicro()), Answer: answer}
	for i := range m.states {
		msg.Members = append(msg.Members, jsonMember{
			Name: "kandy-12", Address: "127.0.2.12:8084", DataCentre: "kandy", Incarnation: 1796332800000000000,
			ConfigVersion: 12, SharedIndex: 4711, LastSeenMs: uint64(max(0, m.Age(now, i).Milliseconds())),
		})
	}
	for range leasesPerNode {
		if !answer {
			msg.Leases = append(msg.Leases, jsonLease{Announcement: jsonAnnouncement, Sequence: 4211, RemainingMs: 1500})
		}
	}
	// Marshal can't fail: the message holds only strings, numbers and booleans.
	data, _ := json.Marshal(msg)
	return data
}

// Tick sends the full message when it is due.
func (m *jsonMesh) Tick(now time.Time) []packet {
	if now.Before(m.nextSend) {
		return nil
	}
	m.nextSend = m.nextSend.Add(jsonInterval)
	return packetsToPeers(m.id, len(m.states), m.message(now, false))
}

// Receive merges the sender's state and answers a message that is not itself an answer.
func (m *jsonMesh) Receive(now time.Time, data []byte) []packet {
	var msg jsonMessage
	if json.Unmarshal(data, &msg) != nil || msg.From >= len(m.states) {
		return nil
	}
	m.merge(msg.From, state{createdMicros: msg.CreatedMicros})
	if msg.Answer {
		return nil
	}
	return []packet{{to: msg.From, data: m.message(now, true)}}
}

// HasFailed reports whether the newest state of the node is older than jsonFailAfter.
func (m *jsonMesh) HasFailed(now time.Time, other int) bool { return m.Age(now, other) > jsonFailAfter }

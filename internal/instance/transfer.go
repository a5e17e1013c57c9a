package instance

import (
	"bytes"
	"encoding/gob"
	"log/slog"

	"topazfall/internal/discovery"
	"topazfall/internal/dispatch"
	"topazfall/internal/upstream"
)

// The kinds of frames between a process and its successor, in the order in which they are first sent. They are part of
// the handover format.
const (
	frameHello      byte = 'h' // from the successor
	frameState      byte = 's' // a handoverState, sent with the listening descriptor
	frameReady      byte = 'r' // from the successor: it accepts connections from now on
	frameLimits     byte = 'k' // a heldLimits: what the predecessor still uses of the limits
	frameColdWork   byte = 'w' // a map of ramp.Log by worker: the work that the predecessor has sent to cold workers
	frameKnownIDs   byte = 'i' // message ids that became known in the predecessor
	frameRanIDs     byte = 'j' // digests of message ids whose jobs may have run, one after the other
	frameConnection byte = 'c' // a handoverConnection, sent with the connection's descriptor

	// Either process sends these:
	frameUpdate       byte = 'l' // a discovery.Update: what the process has read from discovery
	frameWatchRequest byte = 'f' // from the successor: the address of the discovery service whose watch it asks for
)

// handoverState is the state that a successor starts with. Its field names are part of the handover format between two
// versions of the program: gob matches fields by name and ignores fields that only one side has.
type handoverState struct {
	List discovery.HandoverState // discovery's list of workers
	Core dispatch.HandoverState  // known message ids and what the decision module has learned

	Addresses upstream.HandoverState // what is known of the hosts' addresses

	Extension []byte // of a StateKeeper; nil without one
}

// handoverConnection describes a client connection that is handed over. Its field names are part of the handover
// format.
type handoverConnection struct {
	// Proven: the connection has carried a message or a callback. Client: it has carried a message. More: the client
	// has sent more before the answer to Begun.
	Proven, Client, More bool
	Begun                *dispatch.InFlightMessage // the message in flight on the connection, nil for none
}

// encode returns v in the handover format, gob. Gob preserves the bytes of strings, which JSON would not do for invalid
// UTF-8 in what clients have sent.
func encode(v any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil { // only for an unsupported type, which the tests would find
		slog.Warn("takeover", "error", err)
	}
	return b.Bytes()
}

// decode decodes the output of encode into v. v must point to a zero value, because gob does not write zero fields.
func decode(body []byte, v any) error { return gob.NewDecoder(bytes.NewReader(body)).Decode(v) }

// heldLimits is what a predecessor reports about the limits. Its field names are part of the handover format.
type heldLimits struct {
	Conns int     // connections that it and its own predecessors have
	Share float64 // the share that it leaves to the successor of the limits that are not counted in connections
}

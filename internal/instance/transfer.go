package instance

import (
	"bytes"
	"encoding/gob"
	"log/slog"

	"topazfall/internal/discovery"
	"topazfall/internal/dispatch"
	"topazfall/internal/upstream"
)

// The kinds of frames between a process and its successor, in the order in which they first come.
const (
	frameHello      byte = 'h' // from the successor
	frameState      byte = 's' // a handoverState; the listening descriptor comes with it
	frameReady      byte = 'r' // from the successor: it accepts from now on
	frameHeld       byte = 'k' // a held: what the predecessor still has of the limits
	frameKnownIDs   byte = 'i' // ids, once more, when the predecessor leaves
	frameConnection byte = 'c' // a keptConnection; the connection's descriptor comes with it
)

// handoverState is what a successor starts with. Its fields' names are the format in which it travels between two
// versions of the program: gob matches them by name, and passes over what only one side has.
type handoverState struct {
	List discovery.Legacy
	Core dispatch.Legacy

	Addresses upstream.Legacy // of the hosts
}

// keptConnection is what comes with a connection: its fields' names are a format too.
type keptConnection struct {
	Proven, Client, More bool
	Begun                *dispatch.Begun
}

// encode and decode have the form in which the two processes speak. It keeps strings as the bytes that they are, which
// JSON would not do for what clients have sent.
func encode(v any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil { // a type that cannot be encoded: found by the tests
		slog.Warn("takeover", "error", err)
	}
	return b.Bytes()
}

// decode reads what encode has made of a value. v has to be a zero value: what is zero is not written.
func decode(body []byte, v any) error { return gob.NewDecoder(bytes.NewReader(body)).Decode(v) }

// held is what a predecessor says of the limits: the connections that it has, with those of the ones before it, and
// the share that it leaves of what cannot be counted so. Its fields' names are a format too.
type held struct {
	Conns int
	Share float64
}

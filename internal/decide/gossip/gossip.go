// Package gossip decides what dispatchers tell each other about the workers that they share, which peers they tell, and
// how long a gossip message is valid. It does no I/O and reads no clock; times are in microseconds of a clock that all
// machines have in common. A host is a worker as the network code knows it.
//
// A gossip message says that the sender has sent a job to a worker, that a job has ended there, or that the worker has
// failed one. The worker list gives the load of each worker as it was some time ago; it cannot tell what the few
// dispatchers that share a worker have done since then. A message that is lost, duplicated or forged makes a worker
// look one job more or less loaded until the next list, and no worker is ever used because of a message.
package gossip

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
)

// Op is the event that a message reports.
type Op byte

// The ops. Parse rejects all others.
const (
	Sent   Op = 1 + iota // a job was sent to the host
	Ended                // a job has ended there
	Failed               // the host has failed a job that another host might have served
)

// MessageSize is the length of an encoded message in bytes. Datagrams of up to 16 bytes cost each receiver the same.
const MessageSize = 8

// MaxAge is the age in microseconds beyond which a message says nothing about the present.
const MaxAge = 2e6

const (
	formatVersion = 2
	timeStep      = 16_000       // microseconds; times are rounded down to multiples of it
	maxClockSkew  = 3 * timeStep // microseconds by which clocks may differ
	maxEvents     = 64           // events that are kept for one host
)

// Message is one event that a dispatcher reports to a peer.
type Message struct {
	Op   Op
	At   int64  // time of the event
	Host uint32 // hash of the host ID, see HostHash
	Work int64  // expected work of the job in microseconds, 65.5 s at most; 0 if there is none
}

// HostHash returns the hash that stands for a host ID in a message. Two of 200 hosts share a hash in 5 fleets of a
// million. With 16 bits it would be 26 fleets of a hundred, and a healthy host would be blamed for the failures of
// another.
func HostHash(host string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(host))
	return h.Sum32()
}

// Append appends the encoded message: format version and op, the lower 8 bits of the time in steps, the work in
// milliseconds, the host.
func (m Message) Append(b []byte) []byte {
	b = append(b, formatVersion<<4|byte(m.Op), byte(m.At/timeStep))
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(m.Work, 0)/1000, math.MaxUint16)))
	return binary.BigEndian.AppendUint32(b, m.Host)
}

// Parse decodes a message that arrived now. The error names what is invalid: the length, version, op or age. As a
// message has only the lower bits of its time, its age is ambiguous by multiples of about 4 s.
func Parse(data []byte, now int64) (Message, error) {
	if len(data) != MessageSize {
		return Message{}, fmt.Errorf("gossip message: length is %d, not %d", len(data), MessageSize)
	}
	if data[0]>>4 != formatVersion {
		return Message{}, fmt.Errorf("gossip message: version is %d, not %d", data[0]>>4, formatVersion)
	}
	op := Op(data[0] & 15)
	if op < Sent || op > Failed {
		return Message{}, fmt.Errorf("gossip message: op %d is unknown", op)
	}
	age := int64(int8(byte(now/timeStep)-data[1])) * timeStep
	if age > MaxAge || age < -maxClockSkew {
		return Message{}, fmt.Errorf("gossip message: age is %d us, not within %d to %d", age, -maxClockSkew,
			int64(MaxAge))
	}
	return Message{Op: op, At: now - max(age, 0), Host: binary.BigEndian.Uint32(data[4:]),
		Work: int64(binary.BigEndian.Uint16(data[2:])) * 1000}, nil
}

// SubsetStart returns the place among n ranked hosts at which a dispatcher's subset of hosts begins.
func SubsetStart(me, dispatchers, n int) int { return (2*me + 1) * n / (2 * dispatchers) }

// ForEachSharer calls visit for each other dispatcher whose subset, of size hosts, contains the host at a place among
// n.
func ForEachSharer(place, n, size, me, dispatchers int, visit func(peer int)) {
	for d := range dispatchers {
		if d != me && n > 0 && (place-SubsetStart(d, dispatchers, n)+n)%n < size {
			visit(d)
		}
	}
}

// PeerLoad counts the recent changes of one host's load that peers have reported.
type PeerLoad struct{ events []event }

// event is a change of the number of jobs at a time.
type event struct {
	at   int64
	jobs int
}

// Add counts a number of jobs more, or fewer if negative, at the host from a time on.
func (l *PeerLoad) Add(at int64, jobs int) {
	if len(l.events) >= maxEvents {
		l.events = append(l.events[:0], l.events[1:]...)
	}
	l.events = append(l.events, event{at, jobs})
}

// Since returns by how many jobs the load has grown since a time.
func (l *PeerLoad) Since(at int64) (jobs int) {
	for _, e := range l.events {
		if e.at > at {
			jobs += e.jobs
		}
	}
	return jobs
}

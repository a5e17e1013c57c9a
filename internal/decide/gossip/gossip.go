// Package gossip decides what dispatchers tell each other about the workers that they share, which peers they tell, and
// how long a message counts. It does no I/O and reads no clock; times are microseconds of a clock that all machines
// have in common.
//
// A message says that the sender has sent a job to a worker, that a job has ended there, or that the worker has failed
// one. The worker list gives the load of each worker as it was some time ago; it cannot tell what the few dispatchers
// that share a worker have done since then. A message that is lost, duplicated or forged makes a worker look one job
// more or less loaded until the next list, and no worker is ever used because of a message.
package gossip

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
)

// Op is what has happened.
type Op byte

// The ops. What is not one of them is not understood.
const (
	Sent   Op = 1 + iota // a message went to the host
	Ended                // it has ended there
	Failed               // the host has failed one that another might have served
)

// Size is the length of an encoded word in bytes; up to 16 a datagram has the same price, at each that hears it.
const Size = 8

// Oldest is the age in microseconds beyond which a word says nothing of now.
const Oldest = 2e6

const (
	version = 2
	step    = 16_000   // microseconds: what times are rounded down to
	ahead   = 3 * step // by which clocks may differ
	most    = 64       // happenings kept of a host
)

// Word is one thing that a dispatcher tells.
type Word struct {
	Op   Op
	At   int64  // when it happened
	Host uint32 // see Name
	Work int64  // microseconds of it that are expected, where there is a message; 65.5 s at most
}

// Name stands for a host's id in a word. Two of 200 hosts have the same one in 5 fleets of a million; of 16 bits it
// would be in 26 of a hundred, and the sound one would be blamed with the other.
func Name(host string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(host))
	return h.Sum32()
}

// Append appends the bytes of a word: version and op, the lower 8 bits of the time in steps, the work in milliseconds,
// the host.
func (w Word) Append(b []byte) []byte {
	b = append(b, version<<4|byte(w.Op), byte(w.At/step))
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(w.Work, 0)/1000, math.MaxUint16)))
	return binary.BigEndian.AppendUint32(b, w.Host)
}

// Parse reads a word that came now. The error names what is wrong with it: its length, version, op or age. An age is
// known but for whole multiples of 4 s.
func Parse(data []byte, now int64) (Word, error) {
	if len(data) != Size {
		return Word{}, fmt.Errorf("word: length is %d, not %d", len(data), Size)
	}
	if data[0]>>4 != version {
		return Word{}, fmt.Errorf("word: version is %d, not %d", data[0]>>4, version)
	}
	op := Op(data[0] & 15)
	if op < Sent || op > Failed {
		return Word{}, fmt.Errorf("word: op %d is unknown", op)
	}
	age := int64(int8(byte(now/step)-data[1])) * step
	if age > Oldest || age < -ahead {
		return Word{}, fmt.Errorf("word: age is %d us, not within %d to %d", age, -ahead, int64(Oldest))
	}
	return Word{Op: op, At: now - max(age, 0), Host: binary.BigEndian.Uint32(data[4:]),
		Work: int64(binary.BigEndian.Uint16(data[2:])) * 1000}, nil
}

// Window is where a dispatcher's share of n ranked hosts begins.
func Window(me, dispatchers, n int) int { return (2*me + 1) * n / (2 * dispatchers) }

// Sharers calls tell for each other dispatcher whose share, of so many hosts, holds the one at this place of n.
func Sharers(place, n, size, me, dispatchers int, tell func(peer int)) {
	for d := range dispatchers {
		if d != me && n > 0 && (place-Window(d, dispatchers, n)+n)%n < size {
			tell(d)
		}
	}
}

// Tally is what has happened at one host of late by others' doing.
type Tally struct{ happened []happening }

type happening struct {
	at int64
	by int
}

// Add counts n messages more, or less, at a host from this time on.
func (t *Tally) Add(at int64, n int) {
	if len(t.happened) >= most {
		t.happened = append(t.happened[:0], t.happened[1:]...)
	}
	t.happened = append(t.happened, happening{at, n})
}

// Since is how many messages more there are than at that time.
func (t *Tally) Since(at int64) (n int) {
	for _, h := range t.happened {
		if h.at > at {
			n += h.by
		}
	}
	return n
}

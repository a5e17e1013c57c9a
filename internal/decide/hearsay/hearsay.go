// Package hearsay decides what dispatchers tell each other of the hosts that they share, whom, and how long it counts.
// It does no I/O and reads no clock; times are microseconds of a clock that all machines have in common.
//
// A word says that the sender has sent a message to a host, that one has ended there, or that the host has failed one.
// A list of hosts tells the load of each as it was some time ago; what the few that share a host have done since then is
// what it cannot tell. A word that is lost, doubled or forged makes a host look by one message more or less loaded until
// the next list, and no host is ever used because of a word.
package hearsay

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
)

// Op is what has happened.
type Op byte

// The ops. What is not one of them is not understood.
const (
	Sent   Op = 1 + iota // a message went to the host
	Ended                // it has ended there
	Failed               // the host has failed one that another might have served
)

const (
	version = 1
	Size    = 4        // bytes of a word: each has its price, at each that hears it
	step    = 16_000   // microseconds: what times are rounded down to
	Oldest  = 2e6      // microseconds: what is older says nothing of now
	ahead   = 3 * step // by which clocks may differ
	most    = 64       // happenings kept of a host
)

// Word is one thing that a dispatcher tells.
type Word struct {
	Op   Op
	At   int64  // when it happened
	Host uint16 // see Name
}

// Name stands for a host's id in a word. That two hosts have the same one is rare, and then both are thought of.
func Name(host string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(host))
	return uint16(h.Sum32()>>16) ^ uint16(h.Sum32())
}

// Append appends the bytes of a word: version and op, the lower 8 bits of the time in steps, the host.
func (w Word) Append(b []byte) []byte {
	return binary.BigEndian.AppendUint16(append(b, version<<4|byte(w.Op), byte(w.At/step)), w.Host)
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
	return Word{op, now - max(age, 0), binary.BigEndian.Uint16(data[2:])}, nil
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

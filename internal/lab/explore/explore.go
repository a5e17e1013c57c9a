// Package explore walks every state that a pure machine can reach, with everything round it that may go wrong, within
// bounds that its caller builds into the steps. It finds the shortest way to a state that must not be.
package explore

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// State is one state of a machine and of all round it.
type State[S any] interface {
	// AppendKey appends what tells this state from others: two states of one key must go on alike.
	AppendKey(to []byte) []byte
	// Steps are all that may happen next, in the same order each time. Those that lead to no other state do no harm.
	Steps() []Step[S]
	// Check returns an error in a state that must not be.
	Check() error
}

// Step is something that may happen, and the state after it. Its name is asked for where it is on the way to a fault.
type Step[S any] struct {
	Name func() string
	Next S
}

// Report tells of a walk.
type Report struct {
	States, Steps int
	Depth         int // steps from the start to the furthest state
}

// ErrStateLimit says that the walk ended at its bound: nothing was found in the states that it saw.
var ErrStateLimit = errors.New("the bound on states is reached")

// Violation is a state that must not be, and the steps that lead there. No other way is shorter.
type Violation struct {
	Err   error
	Trace []string
}

func (f *Violation) Error() string {
	return fmt.Sprintf("%v, after %d steps:\n  %s", f.Err, len(f.Trace), strings.Join(f.Trace, "\n  "))
}

func (f *Violation) Unwrap() error { return f.Err }

// Walk goes through all states from start on, the nearest first, and no more than so many. It returns a Fault for the
// first that must not be, and ErrBound where there are more.
func Walk[S State[S]](start S, most int) (r Report, err error) {
	type seen struct{ from, step int32 } // the state before, by its number, and which of its steps
	type waiting struct {
		n, depth int
		state    S
	}
	known := map[[16]byte]bool{}
	var way []seen
	var queue []waiting
	var key []byte
	visit := func(s S, from, step, depth int) error {
		key = s.AppendKey(key[:0])
		sum := sha256.Sum256(key)
		short := [16]byte(sum[:16])
		if known[short] {
			return nil
		}
		known[short] = true
		way = append(way, seen{int32(from), int32(step)})
		if err := s.Check(); err != nil {
			f, at := &Violation{Err: err}, start
			var steps []int32
			for n := int32(len(way) - 1); n > 0; n = way[n].from {
				steps = append(steps, way[n].step)
			}
			for _, i := range slices.Backward(steps) {
				taken := at.Steps()[i]
				f.Trace, at = append(f.Trace, taken.Name()), taken.Next
			}
			return f
		}
		queue = append(queue, waiting{len(way) - 1, depth, s})
		return nil
	}
	err = visit(start, 0, 0, 0)
	for len(queue) > 0 && err == nil {
		w := queue[0]
		queue[0] = waiting{} // its state is needed no more
		queue = queue[1:]
		r.Depth = w.depth
		for i, s := range w.state.Steps() {
			r.Steps++
			if err = visit(s.Next, w.n, i, w.depth+1); err != nil {
				break
			}
		}
		if err == nil && len(way) > most {
			err = ErrStateLimit
		}
	}
	r.States = len(way)
	return r, err
}

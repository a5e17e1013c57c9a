// Package explore is a small model checker. It visits every reachable state of a deterministic state machine and its
// environment, including the failures that the environment can cause, and finds a shortest path to an invalid state.
// The caller bounds the number of states by the steps that it offers.
package explore

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// State is one state of the state machine and its environment.
type State[S any] interface {
	// AppendKey appends a key that identifies the state: two states with the same key must behave alike from then on.
	AppendKey(to []byte) []byte
	// Steps returns all events that may happen next, in the same order on each call. Steps that lead back to the same
	// state are allowed.
	Steps() []Step[S]
	// Check returns an error if the state is invalid.
	Check() error
}

// Step is an event that may happen, and the state after it. Name is called only for the steps of a violation's trace.
type Step[S any] struct {
	Name func() string
	Next S
}

// Report describes how far a walk got.
type Report struct {
	States, Steps int
	Depth         int // steps from the start to the farthest state that was expanded
}

// ErrStateLimit is returned when a walk stops at its limit of states. None of the states visited is invalid.
var ErrStateLimit = errors.New("the limit on states is reached")

// Violation is the error of an invalid state, with the steps that lead to it. No path to an invalid state is shorter.
type Violation struct {
	Err   error
	Trace []string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("%v, after %d steps:\n  %s", v.Err, len(v.Trace), strings.Join(v.Trace, "\n  "))
}

func (v *Violation) Unwrap() error { return v.Err }

// Walk visits the states that are reachable from start, in breadth-first order. It returns a Violation for the first
// invalid state, or ErrStateLimit as soon as it has found more than maxStates.
func Walk[S State[S]](start S, maxStates int) (report Report, err error) {
	type predecessor struct{ from, step int32 } // number of the previous state, and index of its step
	type queued struct {
		n, depth int
		state    S
	}
	visited := map[[16]byte]bool{}
	var predecessors []predecessor
	var queue []queued
	var key []byte
	visit := func(s S, from, step, depth int) error {
		key = s.AppendKey(key[:0])
		sum := sha256.Sum256(key)
		digest := [16]byte(sum[:16])
		if visited[digest] {
			return nil
		}
		visited[digest] = true
		predecessors = append(predecessors, predecessor{int32(from), int32(step)})
		if err := s.Check(); err != nil {
			violation, state := &Violation{Err: err}, start
			var steps []int32
			for n := int32(len(predecessors) - 1); n > 0; n = predecessors[n].from {
				steps = append(steps, predecessors[n].step)
			}
			for _, i := range slices.Backward(steps) {
				taken := state.Steps()[i]
				violation.Trace, state = append(violation.Trace, taken.Name()), taken.Next
			}
			return violation
		}
		queue = append(queue, queued{len(predecessors) - 1, depth, s})
		return nil
	}
	err = visit(start, 0, 0, 0)
	for len(queue) > 0 && err == nil {
		current := queue[0]
		queue[0] = queued{} // lets the garbage collector free the state
		queue = queue[1:]
		report.Depth = current.depth
		for i, s := range current.state.Steps() {
			report.Steps++
			if err = visit(s.Next, current.n, i, current.depth+1); err != nil {
				break
			}
		}
		if err == nil && len(predecessors) > maxStates {
			err = ErrStateLimit
		}
	}
	report.States = len(predecessors)
	return report, err
}

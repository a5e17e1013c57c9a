// Command benchlink plays the decision module on the bench: batches of events come in on standard
// input, replies go out on standard output, and each dispatcher has an instance of its own.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"topazfall"
	"topazfall/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// part is the stretch of a reply that belongs to one instance.
type part struct {
	instance, start int
	void            bool
}

// serve answers every batch of in with one reply on out.
func serve(in io.Reader, out io.Writer) error {
	decoder, replies := wire.NewDecoder(in), bufio.NewWriterSize(out, 1<<16)
	balancers := map[int]*topazfall.Balancer{}
	var actions []topazfall.Action
	var reply []byte
	var parts []part
	var now int64
	for {
		m, err := decoder.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		switch m.Kind {
		case wire.Begin:
			now, reply, parts = m.Now, reply[:0], parts[:0]
		case wire.Enlist:
			b, err := topazfall.New(m.Settings)
			if err != nil {
				return fmt.Errorf("instance %d: %w", m.Instance, err)
			}
			balancers[m.Instance] = b
		case wire.Kill:
			// What a killed instance wanted is void: its requests are no longer its own.
			delete(balancers, m.Instance)
			for i := range parts {
				if parts[i].instance == m.Instance {
					parts[i].void = true
				}
			}
		case wire.Occur:
			actions = balancers[m.Instance].Handle(now, m.Event, actions[:0])
			if len(actions) > 0 && (len(parts) == 0 || parts[len(parts)-1].instance != m.Instance) {
				parts = append(parts, part{instance: m.Instance, start: len(reply)})
				reply = wire.AppendActor(reply, m.Instance)
			}
			for i := range actions {
				reply = wire.AppendAction(reply, &actions[i])
			}
		case wire.Commit:
			for i, p := range parts {
				end := len(reply)
				if i+1 < len(parts) {
					end = parts[i+1].start
				}
				if !p.void {
					replies.Write(reply[p.start:end])
				}
			}
			replies.Write(wire.AppendEnd(nil))
			if err := replies.Flush(); err != nil {
				return fmt.Errorf("writing a reply: %w", err)
			}
		}
	}
}

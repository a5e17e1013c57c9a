// Command benchlink connects the decision module to the bench: it reads batches of events on standard input and writes
// replies to standard output. Each dispatcher of the bench has its own instance of the module.
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

// replySection is a consecutive part of a reply with the actions of one instance.
type replySection struct {
	instance, start int
	isDiscarded     bool // the instance was killed in the same batch
}

// serve answers every batch of in with one reply to out.
func serve(in io.Reader, out io.Writer) error {
	decoder, replies := wire.NewDecoder(in), bufio.NewWriterSize(out, 1<<16)
	balancers := map[int]*topazfall.Balancer{}
	var actions []topazfall.Action
	var reply []byte
	var sections []replySection
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
		case wire.BeginBatch:
			now, reply, sections = m.Now, reply[:0], sections[:0]
		case wire.StartInstance:
			b, err := topazfall.New(m.Settings)
			if err != nil {
				return fmt.Errorf("instance %d: %w", m.Instance, err)
			}
			balancers[m.Instance] = b
		case wire.KillInstance:
			// The actions of a killed instance are discarded: its requests no longer belong to it.
			delete(balancers, m.Instance)
			for i := range sections {
				if sections[i].instance == m.Instance {
					sections[i].isDiscarded = true
				}
			}
		case wire.InstanceEvent:
			actions = balancers[m.Instance].Handle(now, m.Event, actions[:0])
			if len(actions) > 0 && (len(sections) == 0 || sections[len(sections)-1].instance != m.Instance) {
				sections = append(sections, replySection{instance: m.Instance, start: len(reply)})
				reply = wire.AppendInstance(reply, m.Instance)
			}
			for i := range actions {
				reply = wire.AppendAction(reply, &actions[i])
			}
		case wire.CommitBatch:
			for i, section := range sections {
				end := len(reply)
				if i+1 < len(sections) {
					end = sections[i+1].start
				}
				if !section.isDiscarded {
					replies.Write(reply[section.start:end])
				}
			}
			replies.Write(wire.AppendEndOfReply(nil))
			if err := replies.Flush(); err != nil {
				return fmt.Errorf("writing a reply: %w", err)
			}
		}
	}
}

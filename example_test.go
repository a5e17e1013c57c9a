package topazfall_test

import (
	"fmt"

	"topazfall"
)

// A dispatcher's loop feeds events in the order in which they happen and carries out the returned actions.
func Example() {
	b, err := topazfall.New(topazfall.Settings{
		Dispatchers: 1, Zone: "here", Zones: []string{"here"}, Tick: 1000,
		Classes: []topazfall.Class{{Name: "render", Deadline: 5e6, Aim: 300e3, Stretch: 2, Repeat: topazfall.Unsafe}},
		Allowed: topazfall.Allowed{Attempts: 3, DialTimeout: 250e3},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []topazfall.Action
	clock := int64(1e6) // the dispatcher's own clock, in microseconds
	feed := func(e topazfall.Event) {
		actions = b.Handle(clock, &e, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case topazfall.Send:
				fmt.Println("send", a.Request, "to", a.Worker)
			case topazfall.Refuse, topazfall.Fail:
				fmt.Println("no answer for", a.Request)
			case topazfall.SetTimer:
				// time.AfterFunc(...) that feeds TimerDue with a.Token, into this same goroutine
			}
		}
	}
	feed(topazfall.Event{Kind: topazfall.ListSnapshot,
		List: []topazfall.Worker{{ID: "worker-1", Zone: "here", Kind: "std"}}})
	feed(topazfall.Event{Kind: topazfall.Arrival, Request: 7, Tenant: -1, Due: clock + 5e6, Hint: 200e3})
	clock += 220e3
	feed(topazfall.Event{Kind: topazfall.AttemptDone, Request: 7, Worker: "worker-1",
		Outcome: topazfall.Completed, Final: true, Load: topazfall.NoLoad})
	fmt.Println("pending actions:", len(actions))
	// Output:
	// send 7 to worker-1
	// pending actions: 0
}

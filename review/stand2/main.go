package main

import (
	"fmt"
	"os"
)

// cases are the cases by number. Each returns whether the rule was broken.
var cases = map[string]func(*bench) (bool, error){
	"6": reusedID, "7": removedHost, "8": askedList, "9": refusedOnce, "10": replacedWorkers,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 NUMBER, from the root of the repository")
		os.Exit(cantRun)
	}
	os.Exit(play(os.Args[1]))
}

// play runs a case and returns its exit code.
func play(number string) int {
	b, err := newBench(number)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer b.close()
	b.note("case %s, with the disruption: %v", number, b.trouble)
	ruleBroken, err := cases[number](b)
	switch {
	case err != nil:
		b.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return cantRun
	case ruleBroken:
		b.note("the rule was BROKEN")
		fmt.Println("the rule was broken")
		return broken
	}
	b.note("the rule held")
	fmt.Println("the rule held")
	return held
}

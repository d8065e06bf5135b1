// Command kit plays a case of the review on loopback: the project's nodes as processes of
// their own, and stand-ins for the platform's store, servers and clients. It exits with 1
// if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: kit CASE RECORD")
		os.Exit(2)
	}
	play, ok := map[string]func(w *world, trouble bool) error{
		"crowd-of-bodies": crowdOfBodies, "pieces": piecesKeepOthersOut, "paths": pathsAreKept, "routes": routesByPath, "wake": wakeWithoutNode, "final-answers": finalAnswers,
	}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = play(w, os.Getenv("TROUBLE") != "0")
	w.stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	}
	for i, v := range w.violations {
		if i < 5 {
			fmt.Println(v)
		}
	}
	fmt.Printf("%d violations\n", len(w.violations))
	if len(w.violations) > 0 {
		os.Exit(1)
	}
}

// Command standin-2 plays the cases of the second review: it starts couriers as separate processes with
// the command of the deploy file, and simulates their clients, endpoints and platform on loopback
// addresses. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*play){}

// limit ends a case that hangs before the 120 seconds are over.
const limit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD, in the root of the project")
		os.Exit(2)
	}
	p, err := newPlay(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() {
		time.Sleep(limit)
		p.cannotRun("the case has not ended within %v", limit)
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { p.cannotRun("told to end: %v", <-stop) }()
	cases[os.Args[1]](p)
	p.end()
}

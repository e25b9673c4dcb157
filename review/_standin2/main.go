// Command standin2 plays one case of the second review: it starts three controllers with the run line
// of the deploy file, on loopback addresses and the real clock, and is everything around them: the
// state service, the cloud, the workers, the load balancer and the users. It writes what was sent,
// answered and run to a record. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// scenario is a case: its site, and what plays it and reports whether the rule held. trouble is false
// in a run without the disruption.
type scenario struct {
	site func() *Site
	play func(c *Cluster, trouble bool) (held bool)
}

func main() {
	runtime.LockOSThread() // the controllers end with the thread that has started them
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(couldNotRun)
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(couldNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	c := newCluster(s.site(), os.Args[2])
	held := s.play(c, trouble)
	c.log.printf("with trouble: %v, the rule held: %v", trouble, held)
	if ended := c.stop(); len(ended) > 0 {
		fmt.Println("controllers that ended by themselves:", ended)
		os.Exit(couldNotRun)
	}
	if held {
		fmt.Println("the rule held")
		os.Exit(ruleHeld)
	}
	fmt.Println("the rule was broken")
	os.Exit(ruleBroken)
}

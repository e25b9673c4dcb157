// Command standin runs one case of the review: it starts the controllers and the stand-ins for the
// state service, the cloud, the workers and the users.
package main

import (
	"os"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		unusable("usage: standin CASE RECORD")
	}
	w := newWorld(os.Args[2])
	time.AfterFunc(115*time.Second, func() { unusable("it took too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	w.log.add("test: case %s, trouble %v", os.Args[1], trouble)
	switch os.Args[1] {
	case "stale-leader":
		staleLeader(w, trouble)
	case "late-status":
		lateStatus(w, trouble)
	case "repeated-start":
		repeatedStart(w, trouble)
	case "long-history":
		longHistory(w, trouble)
	case "two-zones":
		twoZones(w, trouble)
	default:
		unusable("no case %s", os.Args[1])
	}
}

package controller

import (
	"fmt"
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

// A group that no part can hold alone gets machines from several parts, runs
// whole, and the machines are handed back, whatever dies on the way.
func TestGroupAcrossParts(t *testing.T) {
	for kill := range 5 {
		t.Run(fmt.Sprint(kill), func(t *testing.T) {
			inWorld(t, func(c *cluster) {
				c.env.Cloud.SetCapacity(8)
				c.submit(jobBody("wk-1", wire.Array, "blue", "low", 60, 2, 10))
				c.await("machines are up", time.Minute, func() bool { return c.env.Running("wk-1") >= 10 })
				b := jobBody("wk-2", wire.Service, "blue", "production", 6, 3, 0)
				b["hulls"] = []string{"small"}
				c.submit(b)
				switch kill {
				case 1, 2, 3:
					c.await("machines are borrowed", 2*time.Minute, func() bool { return len(c.env.Store.Keys(loanPrefix)) > 0 })
					time.Sleep(time.Duration(kill*400) * time.Millisecond)
					c.kill(kill - 1)
					time.Sleep(9 * time.Second)
					c.start(kill - 1)
				case 4:
					c.await("machines are borrowed", 2*time.Minute, func() bool { return len(c.env.Store.Keys(loanPrefix)) > 0 })
					c.env.Cloud.Agents()[0].Terminate()
				}
				c.await("the service runs whole", 3*time.Minute, func() bool { return c.env.Running("wk-2") == 6 })
				c.abort("wk-2")
				c.await("nothing stays lent", time.Minute, func() bool { return len(c.env.Store.Keys(loanPrefix)) == 0 })
				c.awaitDone("wk-1", 10*time.Minute)
			})
		})
	}
}

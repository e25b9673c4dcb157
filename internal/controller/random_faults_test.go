package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/simulation/network"
	"eiderhitch/internal/wire"
)

// Random troubles, overlapping: no rule breaks, and afterwards all is done.
func TestTroubles(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inWorld(t, func(c *cluster) { troubles(c, rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func troubles(c *cluster, rng *rand.Rand) {
	var heal []func()
	jobs := 0
	var cancel, accepted []string
	for range 40 {
		switch rng.IntN(11) {
		case 0, 1, 2:
			jobs++
			kind := []string{wire.Array, wire.Array, wire.Service, wire.Gang}[rng.IntN(4)]
			b := jobBody(fmt.Sprintf("wk-%d", jobs), kind, []string{"red", "blue"}[rng.IntN(2)],
				[]string{"low", "normal", "urgent", "production"}[rng.IntN(4)], 1+rng.IntN(5), 1+float64(rng.IntN(3)), 1+float64(rng.IntN(10)))
			if kind == wire.Array {
				b["eggs"] = 1 + rng.IntN(25)
				b["spread"] = rng.IntN(4) == 0
				b["driftwood"] = rng.IntN(2) == 0
			}
			b["samePlace"] = rng.IntN(4) == 0 && b["spread"] == false
			if !c.trySubmit(b) {
				break // perhaps it was stored: the rules hold for it all the same
			}
			accepted = append(accepted, fmt.Sprintf("wk-%d", jobs))
			if rng.IntN(3) == 0 || kind == wire.Service {
				cancel = append(cancel, fmt.Sprintf("wk-%d", jobs))
			}
		case 3:
			if len(cancel) > 0 && c.tryAbort(cancel[0]) {
				cancel = cancel[1:]
			}
		case 4:
			i := rng.IntN(3)
			c.kill(i)
			heal = append(heal, func() { c.start(i) })
		case 5:
			c.env.Store.SetDown(true)
			heal = append(heal, func() { c.env.Store.SetDown(false) })
		case 6:
			n := c.nodes[rng.IntN(3)]
			host := []string{"state:1", "10.1", "cloud:1"}[rng.IntN(3)]
			fate := network.Fault(1 + rng.IntN(3))
			n.net.SetPolicy(func(r *http.Request) network.Fault {
				if strings.HasPrefix(r.URL.Host, host) {
					return fate
				}
				return network.Deliver
			})
			heal = append(heal, func() { n.net.SetPolicy(nil) })
		case 7:
			n := c.nodes[rng.IntN(3)]
			n.meshCut.Store(true)
			heal = append(heal, func() { n.meshCut.Store(false) })
		case 8:
			if ws := c.env.Cloud.Agents(); len(ws) > 0 {
				w := ws[rng.IntN(len(ws))]
				if rng.IntN(2) == 0 {
					w.Terminate()
				} else {
					w.SetIsolated(true)
					heal = append(heal, func() { w.SetIsolated(false) })
				}
			}
		default:
			for _, h := range heal {
				h()
			}
			heal = nil
		}
		time.Sleep(time.Duration(rng.IntN(6000)) * time.Millisecond)
		if len(heal) > 3 {
			heal[0]()
			heal = heal[1:]
		}
	}
	for _, h := range heal {
		h()
	}
	for _, id := range cancel {
		c.abort(id)
	}
	healed := time.Now()
	for _, id := range accepted {
		c.state(id)
		if d := time.Since(healed); d > 75*time.Second {
			c.t.Errorf("%s is answered for %v after the troubles", id, d)
		}
	}
	time.Sleep(c.nodes[0].brainHold())
	for _, id := range accepted {
		c.await(id+" is over", 8*time.Minute, func() bool { s := c.state(id); return s == wire.Done || s == wire.Cancelled })
	}
}

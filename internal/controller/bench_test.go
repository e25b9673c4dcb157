package controller

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/peer"
	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/wire"
)

// nowhere is a network without anybody.
type nowhere struct{}

func (nowhere) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// crowded returns the leader, who also owns part 0 of five, of a fleet of the
// given size: half of it runs services, half an array's tasks, all of it is
// full, and more arrays of several classes wait.
func crowded(tb testing.TB, machines int) *controller {
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	cfg := &config.Platform{Name: "n0", Zone: "a", APIAddr: "10.0.0.1:80"}
	const count = 5
	for i := 1; i < count; i++ {
		cfg.Peers = append(cfg.Peers, config.Peer{Name: fmt.Sprintf("n%d", i), Addr: "10.0.0.2:80"})
	}
	cfg.External.Store, cfg.External.Cloud = "state:1", "cloud:1"
	s := &cfg.Settings
	s.Count, s.Zones = count, []string{"a", "b"}
	s.Teams = []config.Team{{Name: "red", CPUs: 800}, {Name: "blue"}}
	s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = 4, 24, 54
	s.Store.RPS, s.Store.WriteRPS, s.Store.ValueKB, s.Store.TxnOps = 150, 60, 8, 32
	s.Cloud.RPS, s.Cloud.ListLagS = 6, 3
	c := newController(ctx, cfg, config.DefaultOperator(), slog.New(slog.NewTextHandler(io.Discard, nil)), clients{state: nowhere{}, cloud: nowhere{}, workers: nowhere{}, send: func(string, []byte) {}})
	c.replica.Load(nil, 0, &wire.WatchResponse{})
	c.replica.NoteRead(c.now)
	c.startedAt = c.now.Add(-time.Hour)
	c.putMachineTypes(testTypes)
	stamp := uint64(10)
	for n := range count {
		stamp++
		node := fmt.Sprintf("n%d", n)
		c.replica.Put(rollout.Initial.Keys().Partition(n), record.JSON(record.LeaseHolder{Node: node, ProcessID: "x"}), stamp)
		c.siblingsFor(node, n)
	}
	p := c.partitions[0]
	c.leasedKeys[p.key].token = 11
	c.takeOverPartition(p, 11)
	p.active, p.ownedSince = true, c.now.Add(-time.Hour)
	c.becomeLeader(stamp)
	c.leadership.active, c.leadership.since = true, c.now.Add(-time.Hour)
	var all []*machine
	for i := range machines {
		name := fmt.Sprintf("host-%06d", i)
		m := c.machineNamed(name)
		m.machineType, m.zone, m.addr = "large", "a", "10.1.0.1:1"
		m.incarnation, m.sequence, m.heartbeatAt, m.leaseRenewedAt, m.answeredAt = 1, 1, c.now, c.now, c.now
		c.setMachineSize(m)
		all = append(all, m)
		if part := m.partition; part != 0 {
			st := c.peers[fmt.Sprintf("n%d", part)].status
			st.Machines = append(st.Machines, peer.Machine{Name: name, Addr: m.addr, Type: m.machineType, Zone: m.zone, Incarnation: 1, Flags: peer.Reachable})
		}
	}
	id := 0
	job := func(kind, class, team string, priority, tasks int, cpus float64) string {
		id++
		stamp++
		spec := &wire.Job{ID: fmt.Sprintf("wk-%06d", id), Class: class, Team: team, Service: kind == wire.Service, Priority: priority, Tasks: tasks,
			CPUs: cpus, RAMGB: 2, Image: "img", EstimateS: 40, DeadlineS: 200}
		c.replica.Put(jobKey(spec.ID), record.JSON(record.Job{AcceptedAtMS: c.now.UnixMilli(), Spec: spec}), stamp)
		return spec.ID
	}
	perPart := map[int][]record.Binding{}
	array := job(wire.Array, "clean", "blue", 1, machines*4, 2)
	num := int32(0)
	for i, m := range all {
		if i%2 == 0 {
			for range 8 {
				stamp++
				c.replica.Put(groupKey(job(wire.Service, "feed", "red", 2, 1, 2), 0),
					record.JSON(record.TaskGroup{Partition: m.partition, Guaranteed: true, Tasks: []record.Binding{{Attempt: 1, Machine: m.name, Incarnation: 1}}}), stamp)
			}
			continue
		}
		for range 8 {
			perPart[m.partition] = append(perPart[m.partition], record.Binding{Task: num, Attempt: 1, Machine: m.name, Incarnation: 1})
			num++
		}
	}
	k := 0
	for part, tasks := range perPart {
		for len(tasks) > 0 {
			n := min(len(tasks), c.maxGroupTasks)
			stamp++
			c.replica.Put(groupKey(array, k), record.JSON(record.TaskGroup{Partition: part, Tasks: tasks[:n]}), stamp)
			tasks, k = tasks[n:], k+1
		}
	}
	for i := range machines / 10 {
		job(wire.Array, "clean", []string{"red", "blue"}[i%2], 1, 40, []float64{1, 2}[i/2%2])
	}
	c.replica.Apply(&wire.WatchResponse{Revision: stamp})
	return c
}

// siblingsFor has a sibling vouch for a part.
func (c *controller) siblingsFor(node string, part int) {
	if x := c.peers[node]; x != nil {
		x.status, x.heardAt, x.heardSince = &peer.Status{Node: node, Fresh: true, Eligible: true, Partitions: []uint64{uint64(part)}}, c.now.Add(time.Hour), c.now
	}
}

func BenchmarkLeadStep(b *testing.B) {
	for _, n := range []int{50, 500, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := crowded(b, n)
			for b.Loop() {
				c.leadership.writesInFlight = 0
				c.runLeader()
			}
		})
	}
}

func BenchmarkStepPart(b *testing.B) {
	for _, n := range []int{50, 500, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := crowded(b, n)
			for b.Loop() {
				c.schedulePartitions()
			}
		})
	}
}

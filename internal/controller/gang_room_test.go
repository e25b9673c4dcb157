package controller

import (
	"testing"
	"time"

	"eiderhitch/internal/core"
	"eiderhitch/internal/record"
	"eiderhitch/internal/wire"
)

// A gang asks for cells when all of its tasks are dealt and all its records are in one part
// and zone, and for what it lacks of an attempt that waits; else for nothing.
func TestGangIsReservedWhole(t *testing.T) {
	all := []record.Group{{Zone: "a", Tasks: []record.Task{{Num: 0}, {Num: 1}}}, {Zone: "a", Tasks: []record.Task{{Num: 2}, {Num: 3}}}}
	for _, x := range []struct {
		name    string
		records []record.Group
		asks    bool
	}{
		{"all are dealt", all, true},
		{"some are not dealt", all[:1], false},
		{"in two parts", []record.Group{all[0], {Part: 1, Zone: "a", Tasks: all[1].Tasks}}, false},
		{"in two zones", []record.Group{all[0], {Zone: "b", Tasks: all[1].Tasks}}, false},
		{"done already", []record.Group{all[0], {Zone: "a", Done: 2, Tasks: []record.Task{}}}, false},
	} {
		b := lone(t)
		b.put(jobKey("wk-1"), raw(t, record.Job{At: b.now.UnixMilli(), Job: &wire.Job{ID: "wk-1", Team: "t", Gang: true, Tasks: 4, CPUs: 1}}), 2)
		for k, v := range x.records {
			b.put(groupKey("wk-1", k), raw(t, v), uint64(3+k))
		}
		asked := false
		b.placeGang(b.parts[0], b.recByKey[groupKey("wk-1", 0)], nil, func(...core.Task) bool {
			asked = true
			return true
		})
		if asked != x.asks {
			t.Errorf("%s: cells are asked for: %v", x.name, asked)
		}
	}
}

// Room that is kept for gangs, or lent for one, is open to others when it has been unused
// for long, however often they were dealt something meanwhile.
func TestUnusedRoomIsOpen(t *testing.T) {
	for _, x := range []struct {
		name   string
		job    string // that the machine is lent for
		unused time.Duration
		open   bool
	}{
		{"kept of late", poolJob, poolUnused - time.Second, false}, {"kept for long", poolJob, poolUnused + time.Second, true},
		{"lent of late", "wk-2", poolUnused + time.Second, false}, {"lent for long", "wk-2", lentUnused + time.Second, true},
	} {
		b := lone(t)
		m := b.machine("host-1")
		b.lends["host-1"] = &lend{Loan: record.Loan{Job: x.job, Ack: true}}
		b.lead.since, m.homeAt, m.usedAt = b.now.Add(-time.Hour), b.now.Add(-time.Hour), b.now.Add(-x.unused)
		h := &core.Host{ID: m.idx, Part: b.lentPart(), Type: "small", Zone: "a", Size: core.Amount(4, 0, 8), Free: core.Amount(4, 0, 8)}
		array := &job{id: "wk-1", spec: &wire.Job{ID: "wk-1", Tasks: 9}, at: b.now.Add(-time.Hour), dealtAt: b.now}
		if got := b.poolOpen(array, h); got != x.open {
			t.Errorf("%s: open is %v", x.name, got)
		}
		if gang := (&job{id: "wk-3", spec: &wire.Job{ID: "wk-3", Gang: true}}); !b.poolOpen(gang, h) {
			t.Errorf("%s: it is not open to gangs", x.name)
		}
		// A gang that has been dealt there and lacks room holds no more than is kept.
		b.put(jobKey("wk-3"), raw(t, record.Job{At: b.now.UnixMilli(), Job: &wire.Job{ID: "wk-3", Team: "t", Gang: true, Tasks: 4, CPUs: 2}}), 2)
		b.put(groupKey("wk-3", 0), raw(t, record.Group{Part: b.lentPart(), Tasks: []record.Task{{Num: 0}, {Num: 1}, {Num: 2}, {Num: 3}}}), 3)
		b.settleDealt([]*core.Host{h}, b.byUrgency())
		if held := h.Free.CPU < 4000; held == x.open {
			t.Errorf("%s: a gang without whole room holds it: %v", x.name, held)
		}
	}
}

// A samePlace gang goes to another zone where there is room for it together with what is
// kept for gangs there.
func TestOtherZoneCountsRoomForGangs(t *testing.T) {
	b := loneAmong(t, 3)
	b.put(jobKey("wk-1"), raw(t, record.Job{At: b.now.UnixMilli(), Job: &wire.Job{ID: "wk-1", Team: "t", Gang: true, OneZone: true, Tasks: 3, CPUs: 2}}), 2)
	b.put(groupKey("wk-1", 0), raw(t, record.Group{Part: 1, Zone: "a", Tasks: []record.Task{{Num: 0}, {Num: 1}, {Num: 2}}}), 3)
	r := b.recByKey[groupKey("wk-1", 0)]
	r.since = b.now.Add(-zonePatience - time.Second)
	var hosts []*core.Host
	for i, part := range []int{0, b.lentPart()} {
		m := b.machine([]string{"host-1", "host-2"}[i])
		hosts = append(hosts, &core.Host{ID: m.idx, Part: part, Type: "small", Zone: "b", Size: core.Amount(4, 0, 8), Free: core.Amount(4, 0, 8)})
	}
	if !b.otherZone(hosts, r) || b.lead.writes != 1 {
		t.Errorf("it stays where there is no room for it (%d transactions)", b.lead.writes)
	}
	b.lead.writes = 0
	if b.otherZone(hosts[:1], r) {
		t.Error("it goes to where there is no room either")
	}
}

// What was claimed to replace a task of an attempt is given up when the attempt is.
func TestReplacementIsGivenUpWithItsAttempt(t *testing.T) {
	b := lone(t)
	p := b.parts[0]
	m := b.machine("host-1")
	report := func(seq uint64, state, why string) {
		b.takeReport(m, &wire.Report{Machine: "host-1", Type: "small", Zone: "a", Session: 1, Seq: seq, Token: 1,
			Tasks: []wire.TaskReport{{Task: "wk-1/0", Attempt: 1, State: state, Why: why}, {Task: "wk-1/1", Attempt: 1, State: wire.Gathering}}}, p, true)
	}
	b.put(jobKey("wk-1"), raw(t, record.Job{At: b.now.UnixMilli(), Job: &wire.Job{ID: "wk-1", Team: "t", Gang: true, Tasks: 3, CPUs: 1, RAM: 1}}), 2)
	bound := func(num int32) record.Task { return record.Task{Num: num, Attempt: 1, Machine: "host-1", Session: 1} }
	b.put(groupKey("wk-1", 0), raw(t, record.Group{Tasks: []record.Task{bound(0), bound(1), {Num: 2, Attempt: 1}}}), 3)
	report(2, wire.Gathering, "")
	b.place(p, b.recByKey[groupKey("wk-1", 0)], map[shape]bool{})
	if len(p.alloc) != 1 {
		t.Fatalf("%d tasks have claimed cells, not the one that is lost", len(p.alloc))
	}
	report(3, wire.Exited, wire.WhyAlone)
	b.tellGangs(p)
	if len(p.alloc) != 0 {
		t.Errorf("%d claims are left", len(p.alloc))
	}
}

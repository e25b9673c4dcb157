package workerclient_test

import (
	"slices"
	"testing"

	"eiderhitch/internal/workerclient"
)

// Pings must use at most half of the slots, so that commands always have the other half.
func TestPingsLeaveSlotsForCommands(t *testing.T) {
	for _, x := range []struct{ maximum, open, pings, commands int }{
		{8, 0, 4, 8},
		{8, 3, 1, 5},
		{8, 4, 0, 4},
		{8, 8, 0, 0},
		{1, 0, 0, 1},
	} {
		for purpose, want := range map[workerclient.Purpose]int{workerclient.PurposePing: x.pings, workerclient.PurposeCommands: x.commands} {
			s := workerclient.NewSlots[string](x.maximum)
			for range x.open {
				s.Acquire("busy")
			}
			got := 0
			for ; s.HasAvailable(purpose); got++ {
				s.Acquire("m")
			}
			if got != want || s.OpenCommands() != x.open+want {
				t.Errorf("%d of %d slots in use: %d more were available for purpose %d (%d in use then), want %d", x.open, x.maximum, got, purpose, s.OpenCommands(), want)
			}
			s.Release()
			if s.OpenCommands() != x.open+want-1 {
				t.Errorf("%d slots in use after a release, want %d", s.OpenCommands(), x.open+want-1)
			}
		}
	}
}

// dequeued is a machine that was dequeued, and the purpose that it was queued for.
type dequeued struct {
	machine string
	purpose workerclient.Purpose
}

// Machines must be dequeued in the order in which they were enqueued, each once.
func TestQueueOrder(t *testing.T) {
	for _, x := range []struct {
		name string
		wait func(s *workerclient.Slots[string])
		want []dequeued
	}{
		{"empty queue", func(*workerclient.Slots[string]) {}, nil},
		{"in order", func(s *workerclient.Slots[string]) {
			s.Enqueue("b", workerclient.PurposeCommands)
			s.Enqueue("a", workerclient.PurposePing)
		}, []dequeued{{"b", workerclient.PurposeCommands}, {"a", workerclient.PurposePing}}},
		{"enqueued twice", func(s *workerclient.Slots[string]) {
			s.Enqueue("a", workerclient.PurposeCommands)
			s.Enqueue("b", workerclient.PurposeCommands)
			s.Enqueue("a", workerclient.PurposeCommands)
		}, []dequeued{{"a", workerclient.PurposeCommands}, {"b", workerclient.PurposeCommands}}},
		{"a ping after commands", func(s *workerclient.Slots[string]) {
			s.Enqueue("a", workerclient.PurposeCommands)
			s.Enqueue("a", workerclient.PurposePing)
		}, []dequeued{{"a", workerclient.PurposePing}}},
		{"commands after a ping", func(s *workerclient.Slots[string]) {
			s.Enqueue("a", workerclient.PurposePing)
			s.Enqueue("a", workerclient.PurposeCommands)
		}, []dequeued{{"a", workerclient.PurposePing}}},
		{"a command sent while queued serves as the ping", func(s *workerclient.Slots[string]) {
			s.Enqueue("a", workerclient.PurposePing)
			s.Acquire("a")
		}, []dequeued{{"a", workerclient.PurposeCommands}}},
		{"enqueued again after it was dequeued", func(s *workerclient.Slots[string]) {
			s.Enqueue("a", workerclient.PurposePing)
			s.Dequeue()
			s.Enqueue("a", workerclient.PurposeCommands)
		}, []dequeued{{"a", workerclient.PurposeCommands}}},
	} {
		s := workerclient.NewSlots[string](8)
		x.wait(s)
		var got []dequeued
		for s.QueueLength() > 0 {
			machine, purpose := s.Dequeue()
			got = append(got, dequeued{machine, purpose})
		}
		if !slices.Equal(got, x.want) {
			t.Errorf("%s: dequeued %v, want %v", x.name, got, x.want)
		}
	}
}

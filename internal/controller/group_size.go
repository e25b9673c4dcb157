package controller

import "eiderhitch/internal/record"

// This file limits the size of a task group's stored value and splits groups that exceed it.

// maxGroupBindings is the maximum number of tasks in a group.
const maxGroupBindings = 128

// The typical size of a group's stored value, used to limit the number of its tasks: bindingBytes
// for each binding, and groupOverheadBytes for everything else.
const (
	bindingBytes       = 72
	groupOverheadBytes = 128
	bytesPerKB         = 1024
)

// maxBindingsPerGroup returns how many tasks of typical size fit into the key-value store's
// limit for a value. A group that exceeds the limit nevertheless is split by splitToFit.
func maxBindingsPerGroup(valueKB float64) int {
	return max(1, min(maxGroupBindings, int(valueKB*bytesPerKB-groupOverheadBytes)/bindingBytes))
}

// maxValueBytes returns the maximum size of a stored value in bytes.
func (c *clusterState) maxValueBytes() int { return int(c.cfg.Settings.Store.ValueKB * bytesPerKB) }

// encodeGroup encodes a task group with the given bindings in the encoding that is currently
// written.
func (c *clusterState) encodeGroup(group *taskGroup, done int, bindings []binding) record.EncodedGroup {
	return group.toRecord(done, bindings).Encode(c.writeEncoding())
}

// splitToFit encodes a task group in as many pieces as the limit for a value requires. A group
// exceeds the limit if it was written under a higher one or has long names, and is split when
// it is written again. The first piece replaces the group itself.
func (c *clusterState) splitToFit(group *taskGroup, done int, bindings []binding) []record.EncodedGroup {
	content := c.encodeGroup(group, done, bindings)
	if content.Size() <= c.maxValueBytes() || len(bindings) < 2 {
		return []record.EncodedGroup{content}
	}
	half := len(bindings) / 2
	firstBindings, secondBindings := bindings[:half], bindings[half:]
	first, second := *group, *group
	if group.throttle != 0 {
		first.throttle, second.throttle = splitThrottle(group.throttle, firstBindings, secondBindings)
	}
	return append(c.splitToFit(&first, done, firstBindings), c.splitToFit(&second, 0, secondBindings)...)
}

// splitThrottle divides the throttle of a group between two pieces. Together they may run no
// more tasks than before, and each keeps its bound tasks.
func splitThrottle(throttle int, firstBindings, secondBindings []binding) (first, second int) {
	boundFirst, boundSecond := countBoundBindings(firstBindings), countBoundBindings(secondBindings)
	free := max(0, throttle-1-boundFirst-boundSecond)
	freeFirst := min(free, len(firstBindings)-boundFirst)
	freeSecond := min(free-freeFirst, len(secondBindings)-boundSecond)
	return 1 + boundFirst + freeFirst, 1 + boundSecond + freeSecond
}

// countBoundBindings returns the number of bindings with a machine.
func countBoundBindings(bindings []binding) int {
	n := 0
	for i := range bindings {
		if bindings[i].machine != nil {
			n++
		}
	}
	return n
}

package controller

import "eiderhitch/internal/record"

// How large a task group's stored form may be, and what becomes of one that is larger.

// maxGroupBindings is how many tasks a group has at the most.
const maxGroupBindings = 128

// The usual size of a group's stored form, by which its tasks are counted: for each binding,
// and for all the rest.
const (
	bindingBytes       = 72
	groupOverheadBytes = 128
	bytesPerKB         = 1024
)

// maxBindingsPerGroup keeps a task group within the key-value store's limit of a value, by the
// usual size of a binding. One that gets larger all the same is split (splitToFit).
func maxBindingsPerGroup(valueKB float64) int {
	return max(1, min(maxGroupBindings, int(valueKB*bytesPerKB-groupOverheadBytes)/bindingBytes))
}

// maxValueBytes is how large a stored value may be.
func (c *clusterState) maxValueBytes() int { return int(c.cfg.Settings.Store.ValueKB * bytesPerKB) }

// encodeGroup is a task group with other bindings, in the encoding that is written now.
func (c *clusterState) encodeGroup(group *taskGroup, done int, bindings []binding) record.Content {
	return group.toRecord(done, bindings).Encode(c.writeEncoding())
}

// splitToFit is a task group's stored form, in as many pieces as the limit of a value asks
// for: one that was written while more was allowed, or whose names are long, is split when it
// is written again. The first piece is the group itself.
func (c *clusterState) splitToFit(group *taskGroup, done int, bindings []binding) []record.Content {
	content := c.encodeGroup(group, done, bindings)
	if content.Size() <= c.maxValueBytes() || len(bindings) < 2 {
		return []record.Content{content}
	}
	half := len(bindings) / 2
	stay, leave := bindings[:half], bindings[half:]
	first, second := *group, *group
	if group.throttle != 0 {
		first.throttle, second.throttle = splitThrottle(group.throttle, stay, leave)
	}
	return append(c.splitToFit(&first, done, stay), c.splitToFit(&second, 0, leave)...)
}

// splitThrottle splits the throttle of a group over two pieces, which together may run no more
// than before: each keeps what is bound.
func splitThrottle(throttle int, stay, leave []binding) (first, second int) {
	boundFirst, boundSecond := countBoundBindings(stay), countBoundBindings(leave)
	free := max(0, throttle-1-boundFirst-boundSecond)
	freeFirst := min(free, len(stay)-boundFirst)
	freeSecond := min(free-freeFirst, len(leave)-boundSecond)
	return 1 + boundFirst + freeFirst, 1 + boundSecond + freeSecond
}

// countBoundBindings counts the bindings that name a machine.
func countBoundBindings(bindings []binding) int {
	n := 0
	for i := range bindings {
		if bindings[i].machine != nil {
			n++
		}
	}
	return n
}

package controller

// queueCloudCall queues a call to the cloud; false if too many wait.
func (c *autoscaler) queueCloudCall(f func()) bool {
	select {
	case c.cloudCalls <- f:
		return true
	default:
		return false
	}
}

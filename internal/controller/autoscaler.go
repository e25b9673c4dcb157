package controller

import "eiderhitch/internal/cloud"

// autoscaler launches and terminates machines for the leader, and terminates those of this
// controller's partitions that nobody reaches while no leader is heard.
type autoscaler struct {
	*leader
	cloudClient *cloud.Client
	// cloudCalls are calls to the cloud that wait for their turn.
	cloudCalls chan func()
	// toTerminate are machines of which the cloud has not been asked yet.
	toTerminate       []string
	terminateInFlight bool
}

package controller

import (
	"fmt"
)

// fault is one entry of a schedule: a fault or an action of users or operators.
type fault struct {
	at       float64 // start, in seconds after the first tasks run
	kind     faultKind
	target   int     // index of a controller, leaderNode, allNodes, or a number of machines, jobs or tasks
	duration float64 // seconds; 0 for events that do not last
	share    float64 // fraction of the requests, heartbeats or jobs that are affected
}

// Targets that are resolved when the fault begins.
const (
	leaderNode = -1 // the controller that is the leader
	allNodes   = -2 // all controllers
)

// faultKind names what happens. Its text is the name of its constant, so that a printed schedule can
// be copied into a test as Go code.
type faultKind string

// The kinds of faults. faultEffects holds their effects.
const (
	storeDown                faultKind = "storeDown"                // the key-value store is down for all
	storeRefuses             faultKind = "storeRefuses"             // the store refuses the requests of a controller
	storeUnresponsive        faultKind = "storeUnresponsive"        // the store does not respond to a controller
	storeSlow                faultKind = "storeSlow"                // a share of the store's responses is delayed
	lateTransactions         faultKind = "lateTransactions"         // a share of transactions is executed long after the caller's timeout
	lostResponses            faultKind = "lostResponses"            // a share of transactions is executed, but the responses are lost
	lateCommands             faultKind = "lateCommands"             // a share of direct commands is executed long after the caller's timeout
	repeatedCommands         faultKind = "repeatedCommands"         // a share of direct commands is executed again long after its response
	repeatedTransactions     faultKind = "repeatedTransactions"     // a share of transactions is executed again long after its response
	repeatedLeaseRequests    faultKind = "repeatedLeaseRequests"    // a share of grants, renewals and revocations of leases is executed again
	repeatedCloudRequests    faultKind = "repeatedCloudRequests"    // a share of the requests to the cloud is executed again
	repeatedHeartbeats       faultKind = "repeatedHeartbeats"       // a share of heartbeats is delivered again to the same controller
	repeatedUserRequests     faultKind = "repeatedUserRequests"     // a share of users' requests is executed again
	repeatedFrames           faultKind = "repeatedFrames"           // connections between controllers break, and deliver their last frame again later
	agentsUnreachable        faultKind = "agentsUnreachable"        // a controller and the agents can't reach each other
	peersUnreachable         faultKind = "peersUnreachable"         // a controller and its peers can't reach each other
	storeAndPeersUnreachable faultKind = "storeAndPeersUnreachable" // a controller can reach neither the store nor its peers
	killController           faultKind = "killController"           // a controller is killed and started again after the duration
	isolateZone              faultKind = "isolateZone"              // the machines of zone b and one controller are isolated from the rest
	machinesNotReceiving     faultKind = "machinesNotReceiving"     // machines send heartbeats but receive neither responses nor commands
	machinesNotSending       faultKind = "machinesNotSending"       // machines reach no controller but receive direct commands
	heartbeatsLost           faultKind = "heartbeatsLost"           // machines can't connect to any controller
	heartbeatsHeldUp         faultKind = "heartbeatsHeldUp"         // heartbeats of machines arrive long after the timeout
	heartbeatsRepeated       faultKind = "heartbeatsRepeated"       // answered heartbeats of machines arrive again
	heartbeatAnswersLost     faultKind = "heartbeatAnswersLost"     // the answers to heartbeats of machines are lost
	heartbeatAnswersHeldUp   faultKind = "heartbeatAnswersHeldUp"   // the answers to heartbeats of machines are held up
	commandsLost             faultKind = "commandsLost"             // direct commands to machines are lost
	commandsHeldUp           faultKind = "commandsHeldUp"           // direct commands to machines arrive long after the timeout
	commandsRepeated         faultKind = "commandsRepeated"         // answered direct commands to machines arrive again
	commandAnswersLost       faultKind = "commandAnswersLost"       // the answers of machines to direct commands are lost
	commandAnswersHeldUp     faultKind = "commandAnswersHeldUp"     // the answers of machines to direct commands are held up
	machinesHang             faultKind = "machinesHang"             // machines hang
	machinesIsolated         faultKind = "machinesIsolated"         // machines neither send nor receive anything
	cloudDown                faultKind = "cloudDown"                // the cloud does not respond
	noCapacity               faultKind = "noCapacity"               // the cloud can't launch further machines
	tasksFail                faultKind = "tasksFail"                // all tasks on machines fail
	terminateMachines        faultKind = "terminateMachines"        // machines terminate without notice
	restartMachines          faultKind = "restartMachines"          // machines restart at once and lose their tasks
	cancelJobs               faultKind = "cancelJobs"               // users cancel some jobs
	cancelAsMachinesHang     faultKind = "cancelAsMachinesHang"     // machines hang, and users cancel some jobs
	raceCompletion           faultKind = "raceCompletion"           // jobs are queried and submitted again as their last task ends; a share is cancelled
	queryAllControllers      faultKind = "queryAllControllers"      // users query all controllers after each successful change
	unusualRequests          faultKind = "unusualRequests"          // users repeat submissions, query unknown jobs and submit invalid ones
	copyHeartbeats           faultKind = "copyHeartbeats"           // a share of heartbeats is delivered a second time
	copyHeartbeatsLate       faultKind = "copyHeartbeatsLate"       // a share of heartbeats is delivered a second time much later
	saveHeartbeats           faultKind = "saveHeartbeats"           // the last heartbeat of each machine is saved
	resendHeartbeats         faultKind = "resendHeartbeats"         // the saved heartbeats are delivered again
	submitJobs               faultKind = "submitJobs"               // users submit jobs of several kinds
	submitGangs              faultKind = "submitGangs"              // users submit gangs of the same priority
	submitUrgentArray        faultKind = "submitUrgentArray"        // users submit an urgent array with as many tasks as the target says
	submitOneTaskJobs        faultKind = "submitOneTaskJobs"        // users submit four one-task jobs a second
	lowerLimits              faultKind = "lowerLimits"              // the store applies the lower limits that the settings have announced
	finalizeUpgrade          faultKind = "finalizeUpgrade"          // an operator requests that the level become final
	abortUpgrade             faultKind = "abortUpgrade"             // an operator requests that the upgrade be aborted
	finalizeAndAbort         faultKind = "finalizeAndAbort"         // two operators request finalize and abort at the same time
	startWithoutLevels       faultKind = "startWithoutLevels"       // controllers are replaced by a version without feature levels
	startWithBaseLevel       faultKind = "startWithBaseLevel"       // controllers are replaced by a version that supports only the base level
)

// String returns the fault as a composite literal for a test.
func (f fault) String() string {
	return fmt.Sprintf("{at: %.1f, kind: %s, target: %d, duration: %.1f, share: %.2f}", f.at, f.kind, f.target, f.duration, f.share)
}

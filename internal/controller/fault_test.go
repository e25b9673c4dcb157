package controller

import (
	"fmt"
)

// fault is one fault of a schedule: what happens, when, for how long, and to whom.
type fault struct {
	at       float64 // seconds after the work has begun
	kind     faultKind
	target   int     // a controller, leaderNode, allNodes, or how many machines or jobs
	duration float64 // seconds
	share    float64 // of what is affected
}

// Controllers by their role at the time.
const (
	leaderNode = -1
	allNodes   = -2
)

// faultKind is what happens. Its text is the name of the constant, so that a schedule which
// is printed can become a row of a test.
type faultKind string

// The faults, in the order in which faultEffects has them.
const (
	storeDown                faultKind = "storeDown"                // the key-value store is down for all
	storeRefuses             faultKind = "storeRefuses"             // it refuses a controller
	storeUnresponsive        faultKind = "storeUnresponsive"        // it does not answer a controller
	storeSlow                faultKind = "storeSlow"                // a share of its answers comes late
	lateTransactions         faultKind = "lateTransactions"         // a share of transactions is executed long after they were given up
	lostResponses            faultKind = "lostResponses"            // a share of transactions is executed, and the answers are lost
	lateCommands             faultKind = "lateCommands"             // a share of direct commands is executed long after they were given up
	agentsUnreachable        faultKind = "agentsUnreachable"        // a controller and the agents do not reach each other
	peersUnreachable         faultKind = "peersUnreachable"         // a controller and its peers do not reach each other
	storeAndPeersUnreachable faultKind = "storeAndPeersUnreachable" // a controller reaches neither the store nor its peers
	killController           faultKind = "killController"           // a controller ends and is started again
	isolateZone              faultKind = "isolateZone"              // zone b and a controller in it are cut off
	machinesNotReceiving     faultKind = "machinesNotReceiving"     // nothing reaches machines, whose heartbeats arrive
	machinesNotSending       faultKind = "machinesNotSending"       // machines reach no controller, while commands reach them
	machinesHang             faultKind = "machinesHang"             // machines stand still
	machinesIsolated         faultKind = "machinesIsolated"         // machines are cut off
	cloudDown                faultKind = "cloudDown"                // the cloud does not answer
	noCapacity               faultKind = "noCapacity"               // the cloud has no more machines
	tasksFail                faultKind = "tasksFail"                // all tasks on machines fail
	terminateMachines        faultKind = "terminateMachines"        // machines are gone
	restartMachines          faultKind = "restartMachines"          // machines are back at once, without their tasks
	cancelJobs               faultKind = "cancelJobs"               // users cancel some jobs
	cancelAsMachinesHang     faultKind = "cancelAsMachinesHang"     // machines hang, and users cancel some jobs
	raceCompletion           faultKind = "raceCompletion"           // a share of jobs is cancelled as their last task ends
	queryAllControllers      faultKind = "queryAllControllers"      // users ask all controllers after each answer
	unusualRequests          faultKind = "unusualRequests"          // requests are repeated, late or wrong
	copyHeartbeats           faultKind = "copyHeartbeats"           // a share of heartbeats arrives again
	copyHeartbeatsLate       faultKind = "copyHeartbeatsLate"       // a share of heartbeats arrives again much later
	saveHeartbeats           faultKind = "saveHeartbeats"           // the last heartbeats are saved
	resendHeartbeats         faultKind = "resendHeartbeats"         // the saved heartbeats arrive
	submitJobs               faultKind = "submitJobs"               // users submit jobs of several kinds
	submitGangs              faultKind = "submitGangs"              // users submit gangs of one priority
	submitUrgentArray        faultKind = "submitUrgentArray"        // users submit an urgent array of so many tasks
	submitOneTaskJobs        faultKind = "submitOneTaskJobs"        // users submit four jobs of one task a second
	lowerLimits              faultKind = "lowerLimits"              // the store has the lower limits that the settings announced
	finalizeUpgrade          faultKind = "finalizeUpgrade"          // an operator asks to make the level final
	abortUpgrade             faultKind = "abortUpgrade"             // an operator asks to abandon the upgrade
	finalizeAndAbort         faultKind = "finalizeAndAbort"         // two operators ask for either
	startWithoutLevels       faultKind = "startWithoutLevels"       // controllers come back as a version without feature levels
	startWithBaseLevel       faultKind = "startWithBaseLevel"       // controllers come back as a version of the base level
)

// String is the fault as a row of a test.
func (f fault) String() string {
	return fmt.Sprintf("{at: %.1f, kind: %s, target: %d, duration: %.1f, share: %.2f}", f.at, f.kind, f.target, f.duration, f.share)
}

package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// execute executes a controller's commands in order. The caller holds a.mu.
func (a *Agent) execute(commands []wire.Command) {
	for i := range commands {
		switch command := &commands[i]; command.Op {
		case wire.OpStart:
			a.executeStart(command)
		case wire.OpStop:
			a.executeStop(command)
		case wire.OpForget:
			a.executeForget(command)
		}
	}
}

// executeStart accepts a task and starts fetching its image. It does nothing if the attempt
// is already on the machine. It refuses the start if another attempt of the task is on the
// machine or the job is unknown.
func (a *Agent) executeStart(command *wire.Command) {
	if t := a.tasks[command.Task]; t != nil {
		if t.attempt != command.Attempt {
			a.recordRefusal(command, trace.TaskInUse)
		}
		return
	}
	spec := a.fleet.JobSpec(trace.JobID(command.Task))
	if spec == nil {
		a.recordRefusal(command, trace.UnknownJob)
		return
	}
	a.tasks[command.Task] = &task{name: command.Task, attempt: command.Attempt, state: wire.StateFetchingImage, stateSince: time.Now(), spec: spec}
	a.fleet.recorder.Record(trace.TaskAccepted{At: time.Now(), Task: command.Task, Machine: a.instance.Name, Attempt: command.Attempt})
	a.requestReport()
}

// recordRefusal records a start command that can't be executed.
func (a *Agent) recordRefusal(command *wire.Command, reason trace.RefusalReason) {
	a.fleet.recorder.Record(trace.StartRefused{At: time.Now(), Task: command.Task, Machine: a.instance.Name, Reason: reason})
}

// executeStop stops a task. The task first saves a checkpoint if it supports checkpoints and
// the command's grace period is long enough. A command without a grace period stops the task
// at once, even while it saves a checkpoint.
func (a *Agent) executeStop(command *wire.Command) {
	t := a.tasks[command.Task]
	if t == nil || t.attempt != command.Attempt || t.state == wire.StateExited {
		return
	}
	grace := 0.0
	if command.GraceS != nil {
		grace = *command.GraceS
	}
	switch {
	case t.state == wire.StateRunning && t.spec.CheckpointIntervalS > 0 && grace >= t.spec.CheckpointSaveS && (!t.spec.Gang || a.fleet.beginGangStop(t)):
		t.state, t.stateSince = wire.StateSavingCheckpoint, time.Now()
		a.requestReport()
	case t.state != wire.StateSavingCheckpoint || grace == 0:
		a.exitTask(t, wire.ReasonStopped)
	}
}

// executeForget removes the record of an exited task.
func (a *Agent) executeForget(command *wire.Command) {
	if t := a.tasks[command.Task]; t != nil && t.attempt == command.Attempt && t.state == wire.StateExited {
		delete(a.tasks, command.Task)
		a.fleet.recorder.Record(trace.TaskForgotten{At: time.Now(), Task: command.Task, Machine: a.instance.Name, Attempt: command.Attempt})
		a.requestReport()
	}
}

// ServeHTTP handles direct commands from controllers. A machine that can't be reached never
// answers, so the caller's request times out. A machine that hangs answers once it resumes.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.terminated || a.faults.isolated || a.faults.inboundBlocked || !a.booted {
		a.mu.Unlock()
		<-r.Context().Done()
		a.mu.Lock()
		return
	}
	if !a.awaitResumed() || a.terminated {
		return
	}
	var request wire.CommandRequest
	if err != nil || json.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.advance()
	if request.FencingToken < a.fencingToken || request.Incarnation != a.incarnation {
		a.reply(w, http.StatusConflict)
		return
	}
	a.raiseFencingToken(request.FencingToken)
	a.execute(request.Commands)
	a.reply(w, http.StatusOK)
}

// reply sends the machine's state, in the form of a heartbeat. The caller holds a.mu.
func (a *Agent) reply(w http.ResponseWriter, status int) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a.heartbeat()) // fails only if the caller has closed the connection
}

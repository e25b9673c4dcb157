package rollout

import (
	"encoding/json"
	"testing"
)

// Other versions read the stored records and keys, so their bytes must not change.
func TestStoredEncodingsAreStable(t *testing.T) {
	state := State{Level: 2, Phase: PhaseReverting, Epoch: 3, OnHold: true, Request: RequestAbort, PhaseStartedAtMS: 5}
	txn, err := json.Marshal(NewStepTxn(InitialState, StepFinalize, state, ClusterView{Members: []string{"n0"}, PartitionCount: 1}, Revisions{State: 1, Leader: 2}))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ got, want string }{
		{string(InitialState.Encode()), `{"level":1,"phase":"stable"}`},
		{string(state.Encode()), `{"level":2,"phase":"reverting","epoch":3,"held":true,"wish":"abort","since":5}`},
		{string(Registration{Node: "n0", ProcessID: "00ff", Build: "x", LevelRange: SupportedLevels, RegisteredAtMS: 5}.Encode()), `{"n":"n0","b":"00ff","build":"x","low":1,"high":2,"at":5}`},
		{string(txn), `{"if":[{"k":"e/level","stamp":1},{"k":"e/leader","stamp":2},{"k":"e/node/n0","stamp":0}],"then":[` +
			`{"write":"e/level","v":` + string(state.Encode()) + `},` +
			`{"write":"e/leader","v":{"n":"(closed by feature level 2)","b":""}},{"write":"e/part/0","v":{"n":"(closed by feature level 2)","b":""}}]}`},
		{InitialState.LeaseKeys().Partition(3) + " " + InitialState.LeaseKeys().Leader(), "e/part/3 e/leader"},
		{state.LeaseKeys().Partition(3) + " " + state.LeaseKeys().Leader(), "e/epoch/3/part/3 e/epoch/3/leader"},
		{RegistrationKey("n0"), "e/node/n0"},
	} {
		if x.got != x.want {
			t.Errorf("got %s, want\n%s", x.got, x.want)
		}
	}
}

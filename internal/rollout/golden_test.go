package rollout

import (
	"encoding/json"
	"testing"
)

// What is stored, and where, has exactly these bytes: other versions read them.
func TestRecordsKeepTheirBytes(t *testing.T) {
	state := State{Level: 2, Phase: Reverting, Epoch: 3, Held: true, Request: RequestAbort, Since: 5}
	txn, err := json.Marshal(Txn(Initial, Finalize, state, View{Members: []string{"n0"}, Partitions: 1}, Revisions{State: 1, Leader: 2}))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ got, want string }{
		{string(Initial.Encode()), `{"level":1,"phase":"stable"}`},
		{string(state.Encode()), `{"level":2,"phase":"reverting","epoch":3,"held":true,"wish":"abort","since":5}`},
		{string(Controller{Node: "n0", ProcessID: "00ff", Build: "x", Range: Supported, StartedAt: 5}.Encode()), `{"n":"n0","b":"00ff","build":"x","low":1,"high":2,"at":5}`},
		{string(txn), `{"if":[{"k":"e/level","stamp":1},{"k":"e/leader","stamp":2},{"k":"e/node/n0","stamp":0}],"then":[` +
			`{"write":"e/level","v":` + string(state.Encode()) + `},` +
			`{"write":"e/leader","v":{"n":"(closed by feature level 2)","b":""}},{"write":"e/part/0","v":{"n":"(closed by feature level 2)","b":""}}]}`},
		{Initial.Keys().Partition(3) + " " + Initial.Keys().Leader(), "e/part/3 e/leader"},
		{state.Keys().Partition(3) + " " + state.Keys().Leader(), "e/epoch/3/part/3 e/epoch/3/leader"},
		{ControllerKey("n0"), "e/node/n0"},
	} {
		if x.got != x.want {
			t.Errorf("%s, not\n%s", x.got, x.want)
		}
	}
}

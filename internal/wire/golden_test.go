package wire

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func pointer[T any](v T) *T { return &v }

// Every message must be encoded as exactly these bytes, and the bytes must be decoded as the same
// message.
func TestMessageBytes(t *testing.T) {
	command := Command{Op: OpStop, Task: "wk-1/0", Attempt: 1, GraceS: pointer(10.0)}
	start := Command{Op: OpStart, Task: "wk-1/0", Attempt: 2}
	for _, x := range []struct {
		message any
		bytes   string
	}{
		{JobState{ID: "wk-1", State: StateQueued}, `{"nameId":"wk-1","tide":"queued"}`},
		{JobState{ID: "wk-1", State: StateCancelled}, `{"nameId":"wk-1","tide":"withdrawn"}`},
		{JobState{ID: "wk-1", State: StateRunning, DoneTasks: pointer(0), RunningTasks: pointer(13)}, `{"nameId":"wk-1","tide":"running","done":0,"running":13}`},
		{Heartbeat{Machine: "m", Addr: "a:1", Type: "g8", Zone: "a", Spot: true, Incarnation: 1, Sequence: 88, FencingToken: 41, TerminationNoticeS: pointer(2.5),
			Tasks: []TaskStatus{{Task: "wk-1/0", Attempt: 2, State: StateSavingCheckpoint}, {Task: "wk-1/1", Attempt: 1, State: StateExited, Reason: ReasonStopped, CheckpointSaved: true}}},
			`{"perch":"m","addr":"a:1","hull":"g8","shore":"a","driftwood":true,"watch":1,"tally":88,"baton":41,"warningS":2.5,"eggs":[` +
				`{"egg":"wk-1/0","launch":2,"tide":"flushing","cause":"","kept":false},{"egg":"wk-1/1","launch":1,"tide":"ended","cause":"halted","kept":true}]}`},
		{Heartbeat{Machine: "m", Incarnation: 1}, `{"perch":"m","addr":"","hull":"","shore":"","driftwood":false,"watch":1,"tally":0,"baton":0,"warningS":null,"eggs":null}`},
		{HeartbeatResponse{FencingToken: 41, Commands: []Command{start, command}},
			`{"baton":41,"calls":[{"call":"start","egg":"wk-1/0","launch":2},{"call":"stop","egg":"wk-1/0","launch":1,"slackS":10}]}`},
		{HeartbeatResponse{Commands: []Command{}}, `{"baton":0,"calls":[]}`},
		{Redirect{}, `{}`},
		{Redirect{Node: "perch-2"}, `{"harbour":"perch-2"}`},
		{CommandRequest{FencingToken: 41, Incarnation: 1, Commands: []Command{{Op: OpForget, Task: "wk-1/0", Attempt: 1}}},
			`{"baton":41,"watch":1,"calls":[{"call":"reap","egg":"wk-1/0","launch":1}]}`},
		{MachineTypes{Types: []MachineType{{Name: "g8", CPUs: 96, GPUs: 8, RAMGB: 768, ImageCacheGB: 200, ImageFetchGBPS: 1.5, Price: 12, SpotPrice: 4.5, BootS: 45, Zones: []string{"a"}}}},
			`{"hulls":[{"label":"g8","cpus":96,"cards":8,"ramGb":768,"cacheGb":200,"pullGbPerS":1.5,"price":12,"spotPrice":4.5,"startupS":45,"shores":["a"]}]}`},
		{LaunchRequest{IdempotencyKey: "r", Type: "g8", Zone: "a", Spot: true, Count: 3}, `{"charter":"r","hull":"g8","shore":"a","driftwood":true,"howMany":3}`},
		{MachineNames{Names: []string{"m"}}, `{"perches":["m"]}`},
		{InstanceList{Instances: []Instance{{Name: "m", Addr: "a:1", Type: "g8", Zone: "a", Spot: true, State: InstanceFailed, AgeS: 61.5}}, HasMore: true},
			`{"perches":[{"nameId":"m","addr":"a:1","hull":"g8","shore":"a","driftwood":true,"tide":"failed","heldS":61.5}],"truncated":true}`},
		{Txn{Conditions: []Condition{{Key: "a/b"}}, Changes: []Change{{Put: "a/b", Value: json.RawMessage(`{"x":1}`), Lease: 7}, {Delete: "c/d"}}},
			`{"if":[{"k":"a/b","stamp":0}],"then":[{"write":"a/b","v":{"x":1},"mooring":7},{"drop":"c/d"}]}`},
		{Txn{Conditions: []Condition{{Key: "a", Revision: 3}}}, `{"if":[{"k":"a","stamp":3}]}`},
		{TxnResponse{Revision: 431, FailedKeys: []string{"a/b"}}, `{"logmark":431,"failed":["a/b"]}`},
		{ItemPage{Items: []Item{{Key: "k", Value: json.RawMessage(`1`), Revision: 2}}, HasMore: true, Revision: 431},
			`{"rows":[{"k":"k","v":1,"stamp":2}],"truncated":true,"logmark":431}`},
		{WatchResponse{Revision: 433, Events: []Event{{Put: "k", Value: json.RawMessage(`{}`), Revision: 433}}},
			`{"logmark":433,"news":[{"write":"k","drop":"","v":{},"stamp":433}]}`},
		{LeaseRequest{TTLMS: 5000}, `{"lifeMs":5000}`},
		{LeaseResponse{Lease: 7}, `{"mooring":7}`},
	} {
		raw, err := json.Marshal(x.message)
		if err != nil || string(raw) != x.bytes {
			t.Errorf("%+v is encoded as\n%s, want\n%s (error %v)", x.message, raw, x.bytes, err)
		}
		decoded := reflect.New(reflect.TypeOf(x.message))
		if err := Decode([]byte(x.bytes), decoded.Interface()); err != nil {
			t.Errorf("%s can't be decoded: %v", x.bytes, err)
		}
		if d := cmp.Diff(x.message, decoded.Elem().Interface()); d != "" {
			t.Errorf("%s is decoded as another message (-want +got):\n%s", x.bytes, d)
		}
	}
}

// exampleSubmission is the example in the description of the protocol.
const exampleSubmission = `{"nameId":"wk-000412","flock":"train","crew":"vision","shape":"batch","rank":"urgent","eggs":16,` +
	`"cpus":8.0,"cards":1.0,"ramGb":64.0,"plumage":"img-07","imageGb":6.2,` +
	`"hulls":["g8"],"shore":null,"samePlace":true,"spread":false,"driftwood":true,"reckonS":240.0,"moultS":30.0,"stowS":4.0,"dueS":900.0}`

// A valid submission must be stored as exactly these bytes. An invalid one must be rejected with
// exactly the listed text, which names the field as the protocol does.
func TestSubmissionStoredBytesAndErrorTexts(t *testing.T) {
	job, err := ParseJob([]byte(exampleSubmission))
	if err != nil {
		t.Fatal(err)
	}
	const stored = `{"ID":"wk-000412","Class":"train","Team":"vision","Service":false,"Gang":false,"Priority":2,"Tasks":16,"CPUs":8,"GPUs":1,"RAM":64,` +
		`"Image":"img-07","ImageGB":6.2,"Types":["g8"],"Zone":"","OneZone":true,"Spread":false,"Spot":true,"EstimateS":240,"CheckS":30,"SaveS":4,"DeadlineS":900,"NoDeadline":false}`
	if raw, err := json.Marshal(job); err != nil || string(raw) != stored {
		t.Errorf("stored as\n%s, want\n%s (error %v)", raw, stored, err)
	}
	long := `"` + strings.Repeat("x", 201) + `"`
	for _, x := range []struct{ from, to, text string }{
		{exampleSubmission, ` []`, "body: not a JSON object"},
		{exampleSubmission, `{"nameId":7}`, "body: json: cannot unmarshal number into Go struct field jobBody.nameId of type string"},
		{`"nameId":"wk-000412",`, ``, "nameId: missing"},
		{`"wk-000412"`, `"job-1"`, `nameId: "job-1" is not of the form wk-000000`},
		{`"flock":"train"`, `"flock":""`, "flock: must have 1 to 200 bytes"},
		{`"crew":"vision"`, `"crew":` + long, "crew: must have 1 to 200 bytes"},
		{`"plumage":"img-07"`, `"plumage":null`, "plumage: missing"},
		{`"batch"`, `"x"`, "shape: missing or unknown"},
		{`"rank":"urgent",`, ``, "rank: missing"},
		{`"urgent"`, `"high"`, "rank: unknown"},
		{`"eggs":16`, `"eggs":1.5`, "eggs: must be an integer from 1 to 100000"},
		{`"cpus":8.0,`, ``, "cpus: missing"},
		{`"cards":1.0`, `"cards":-1`, "cards: must be between 0 and 1e+09"},
		{`"dueS":900.0`, `"dueS":1e10`, "dueS: must be between 0 and 1e+09"},
		{`["g8"]`, `[` + strings.Repeat(`"g8",`, 32) + `"g8"]`, "hulls: more than 32"},
		{`["g8"]`, `[""]`, "hulls: names must have 1 to 200 bytes"},
		{`["g8"]`, `[]`, "hulls: an empty list allows no type"},
		{`"shore":null`, `"shore":""`, "shore: must have 1 to 200 bytes"},
		{`"samePlace":true,`, ``, "samePlace: missing"},
		{`"driftwood":true,`, ``, "driftwood: missing"},
		// If several fields are invalid, the error names the first one in the order of the checks.
		{`"flock":"train","crew":"vision","shape":"batch"`, `"shape":"x","samePlace":null`, "flock: missing"},
	} {
		if _, err := ParseJob([]byte(strings.Replace(exampleSubmission, x.from, x.to, 1))); err == nil || err.Error() != x.text {
			t.Errorf("%s: error %v, want %s", x.to, err, x.text)
		} else if field, ok := errors.AsType[*FieldError](err); !ok || !strings.HasPrefix(x.text, field.Field+": ") {
			t.Errorf("%s: the error has type %T or names another field than its text", x.to, err)
		}
	}
	for body, text := range map[string]string{
		`{}`:                        "report: machine or session is missing",
		`{"perch":"m","watch":"x"}`: "report: json: cannot unmarshal \"\\\"x\\\"}\" into Go struct field wire.Heartbeat.watch of type uint64",
	} {
		if _, err := ParseHeartbeat([]byte(body)); err == nil || err.Error() != text {
			t.Errorf("%s: error %v, want %s", body, err, text)
		}
	}
}

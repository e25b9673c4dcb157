package wire_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"eiderhitch/internal/record"
	"eiderhitch/internal/wire"
)

const submissionExample = `{"nameId":"wk-000412","flock":"train","crew":"vision","shape":"batch","rank":"urgent","eggs":16,
	"cpus":8.0,"cards":1.0,"ramGb":64.0,"plumage":"img-07","imageGb":6.2,"hulls":["g8"],"shore":"a","samePlace":true,
	"spread":false,"driftwood":true,"reckonS":240.0,"moultS":30.0,"stowS":4.0,"dueS":900.0}`

const heartbeatExample = `{"perch":"host-000231","addr":"10.1.0.232:9000","hull":"g8","shore":"a","driftwood":true,"watch":1,
	"tally":88,"baton":41,"warningS":2.5,"eggs":[{"egg":"wk-000412/3","launch":2,"tide":"ended","cause":"done","kept":true}]}`

// decoded returns a function that decodes a T.
func decoded[T any]() func([]byte) (any, error) {
	return func(raw []byte) (any, error) {
		var v T
		err := wire.Decode(raw, &v)
		return v, err
	}
}

// messages holds an example and the decoding of each message that the controllers read.
var messages = map[string]struct {
	example string
	decode  func([]byte) (any, error)
}{
	"submission": {submissionExample, func(raw []byte) (any, error) { return wire.ParseJob(raw) }},
	"heartbeat":  {heartbeatExample, func(raw []byte) (any, error) { return wire.ParseHeartbeat(raw) }},
	"job record": {
		`{"f":1,"at":1000,"j":{"ID":"wk-000412","Class":"train","Team":"vision","Tasks":16,"CPUs":8,"Types":["g8"],"Zone":"a","OneZone":true}}`,
		decoded[record.Job](),
	},
	"task group":    {`{"p":2,"z":"a","d":1,"c":7,"t":[{"i":3,"a":1,"m":"host-1","h":"10.1.0.1:9","s":4}]}`, decoded[record.TaskGroup]()},
	"loan":          {`{"j":"wk-1","l":2,"t":"vision","a":true}`, decoded[record.MachineLoan]()},
	"item page":     {`{"rows":[{"k":"a","v":1,"stamp":3}],"truncated":true,"logmark":9}`, decoded[wire.ItemPage]()},
	"changes":       {`{"logmark":9,"news":[{"write":"a","v":1,"stamp":9},{"drop":"b","stamp":9}]}`, decoded[wire.WatchResponse]()},
	"txn response":  {`{"logmark":9,"failed":["a"]}`, decoded[wire.TxnResponse]()},
	"machine types": {`{"hulls":[{"label":"g8","cpus":96,"cards":8,"ramGb":768,"startupS":45,"shores":["a","b"]}]}`, decoded[wire.MachineTypes]()},
}

// respell draws another encoding of an object for a receiver that knows only its own fields: in
// another order, with white space, escapes in names, and unknown fields whose names differ from known
// ones in case or length.
func respell(t *rapid.T, raw json.RawMessage) json.RawMessage {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) == nil && list != nil {
		for i := range list {
			list[i] = respell(t, list[i])
		}
		return joinWith(t, "[", "]", list)
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil || object == nil {
		return raw
	}
	var fields []json.RawMessage
	for _, name := range rapid.Permutation(sortedNames(object)).Draw(t, "order") {
		fields = append(fields, field(t, name, respell(t, object[name])))
		for _, unknown := range []string{strings.ToUpper(name), strings.ToUpper(name[:1]) + name[1:], name + "s", " " + name} {
			if _, known := object[unknown]; !known && rapid.IntRange(0, 3).Draw(t, "adds") == 0 {
				value := rapid.SampledFrom([]string{`"wk-999999"`, "7", "null", `{"nameId":"wk-1"}`, `[[[1,{"eggs":2}]]]`, "true"}).Draw(t, "value")
				fields = append(fields, field(t, unknown, json.RawMessage(value)))
			}
		}
	}
	return joinWith(t, "{", "}", fields)
}

func sortedNames(object map[string]json.RawMessage) []string {
	var names []string
	raw, _ := json.Marshal(object) // sorts the names; a map of valid JSON can't fail
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	_, _ = decoder.Token()
	for decoder.More() {
		name, _ := decoder.Token()
		var skipped json.RawMessage
		_ = decoder.Decode(&skipped)
		names = append(names, name.(string))
	}
	return names
}

// field draws the encoding of a field.
func field(t *rapid.T, name string, value json.RawMessage) json.RawMessage {
	quoted, _ := json.Marshal(name) // a string can't fail
	text := string(quoted)
	if rapid.IntRange(0, 5).Draw(t, "escapes") == 0 {
		const hex = "0123456789abcdef"
		text = `"\u00` + string(hex[name[0]>>4]) + string(hex[name[0]&15]) + text[2:]
	}
	return json.RawMessage(text + space(t) + ":" + space(t) + string(value))
}

// joinWith draws a list of parts between two brackets, with white space.
func joinWith(t *rapid.T, opening, closing string, parts []json.RawMessage) json.RawMessage {
	var out strings.Builder
	out.WriteString(space(t) + opening + space(t))
	for i, part := range parts {
		if i > 0 {
			out.WriteString("," + space(t))
		}
		out.Write(part)
	}
	out.WriteString(space(t) + closing + space(t))
	return json.RawMessage(out.String())
}

func space(t *rapid.T) string {
	return strings.Repeat(rapid.SampledFrom([]string{"", "", "", " ", "\n\t", "\r"}).Draw(t, "space"), rapid.SampledFrom([]int{1, 1, 90}).Draw(t, "count"))
}

func TestDecodingDependsOnNeitherCaseNorOrderNorUnknownFields(t *testing.T) {
	for name, message := range messages {
		t.Run(name, func(t *testing.T) {
			want, err := message.decode([]byte(message.example))
			if err != nil {
				t.Fatal(err)
			}
			rapid.Check(t, func(t *rapid.T) {
				raw := respell(t, json.RawMessage(message.example))
				got, err := message.decode(raw)
				if err != nil {
					t.Fatalf("%s: refused: %v", raw, err)
				}
				if d := cmp.Diff(want, got); d != "" {
					t.Fatalf("%s: another message (-want +got):\n%s", raw, d)
				}
			})
		})
	}
}

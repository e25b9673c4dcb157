package record

import (
	"testing"

	"eiderhitch/internal/wire"
)

// Stored records must keep exactly these bytes, since other versions of the program read them.
func TestStoredBytes(t *testing.T) {
	g := &TaskGroup{Partition: 3, Zone: "a", Guaranteed: true, DoneTasks: 1, Throttle: 2, Tasks: []Binding{
		{Task: 4, Attempt: 2, Machine: "host-000231", Incarnation: 1, Addr: "10.1.0.232:9000"},
		{Task: 7, Attempt: 1, Machine: "host-000232", Incarnation: 3, Addr: "10.1.0.233:9000"}, {Task: 2}}}
	const key = "e/group/wk-1/0"
	for _, x := range []struct{ got, want string }{
		{string(g.Encode(PlainJSON).ValueForKey(key)), `{"p":3,"z":"a","o":true,"d":1,"c":2,"t":[{"i":4,"a":2,"m":"host-000231","s":1,"h":"10.1.0.232:9000"},{"i":7,"a":1,"m":"host-000232","s":3,"h":"10.1.0.233:9000"},{"i":2}]}`},
		{string(g.Encode(Checksummed).ValueForKey(key)), `"AqQCck+idfRy5/nCbs6aarQDAQFhAQICAAtob3N0LTAwMDIzMQAPMTAuMS4wLjIzMjo5MDAwAQoBMgkGMzo5MDAwAwMIAgEGAQIJAAA"`},
		{string(JSON(TaskGroup{Tasks: []Binding{}})), `{"p":0,"t":[]}`},
		{string(JSON(LeaseHolder{Node: "n0", ProcessID: "00ff"})), `{"n":"n0","b":"00ff"}`},
		{string(JSON(Job{FinalState: 2, AcceptedAtMS: 5})), `{"f":2,"at":5}`},
		{string(JSON(Job{Spec: &wire.Job{ID: "wk-1"}})), `{"f":0,"j":{"ID":"wk-1","Class":"","Team":"","Service":false,"Gang":false,"Priority":0,"Tasks":0,"CPUs":0,"GPUs":0,"RAM":0,` +
			`"Image":"","ImageGB":0,"Types":null,"Zone":"","OneZone":false,"Spread":false,"Spot":false,"EstimateS":0,"CheckS":0,"SaveS":0,"DeadlineS":0,"NoDeadline":false}}`},
		{string(JSON(MachineLoan{Job: "wk-1", Priority: 2, Guaranteed: true, Team: "t", Acknowledged: true})), `{"j":"wk-1","l":2,"o":true,"t":"t","a":true}`},
		{string(JSON(MachineLoan{Job: "wk-1", Team: "t"})), `{"j":"wk-1","l":0,"t":"t"}`},
	} {
		if x.got != x.want {
			t.Errorf("stored as\n%s, want\n%s", x.got, x.want)
		}
	}
}

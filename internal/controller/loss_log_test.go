package controller

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/wire"
)

func TestLostTasksAreLoggedWithTheirProof(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.alwaysKeepLogs = true
		c.restartAll()
		c.env.Cloud.SetCapacity(1)
		c.submit(newSubmission(submission{ID: "wk-1", Kind: wire.KindService, Team: "blue", Priority: "normal", Tasks: 1, CPUs: 4}))
		c.await("the service runs", time.Minute, func() bool { return c.env.CountRunningTasks("wk-1") == 1 })
		time.Sleep(c.nodes[0].maxStaleness()) // a former owner may answer heartbeats until then
		c.env.Cloud.SetUnavailable(true)      // the machine is not terminated
		machine := c.agentWithJob("wk-1")
		c.muteAndRestart(machine, muteMachineScenario{wire.KindService, muteRestartDelay, 1})
		time.Sleep(time.Second)
		machine.SetIsolated(true)
		time.Sleep(2*c.env.LeaseTTL + metricsInterval)
		c.checkInfoLines(`msg="tasks of a machine are lost"`, `why="its lease is over" incarnation=2 lease_counted_from=`, 1)
		c.checkInfoLines(`why="its lease is over"`, `counted_by="session in a direct answer" margin_ms=`, 1)
		counted := strings.Join(c.infoLines("msg=counters"), "")
		if !strings.Contains(counted, " lost_lease=1 ") || !strings.Contains(counted, " lost_incarnation=1 ") {
			t.Errorf("counters: %q, want a task lost with its lease and one with its incarnation", counted)
		}
		shown := c.infoLines(`msg="machine begins a new incarnation"`)
		if len(shown) == 0 || !strings.Contains(shown[0], `shown_by="direct answer"`) {
			t.Errorf("lines of new incarnations: %q, want the first one shown by a direct answer", shown)
		}
	})
}

func TestHeldKeysAreLogged(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.alwaysKeepLogs = true
		c.restartAll()
		c.startServices(1, 1)
		time.Sleep(ownershipLogInterval)
		for _, key := range []string{"e/leader@", "e/part/0@", "e/part/1@", "e/part/2@"} {
			held := c.infoLines(`msg="leased keys held"`)
			if !strings.Contains(strings.Join(held, ""), key) {
				t.Errorf("no line names %s: %q", key, held)
			}
			for _, line := range held {
				for _, attribute := range []string{" revision=", " read_age_ms=", " answers_for_ms=", " owned_ms="} {
					if !strings.Contains(line, attribute) {
						t.Errorf("line %q lacks %s", line, attribute)
					}
				}
			}
		}
	})
}

func TestDirectCommandsAreLoggedWithTheirRead(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.alwaysKeepLogs = true
		c.restartAll()
		c.startServices(1, 1)
		var logged bytes.Buffer
		if err := c.logs.writeTo(&logged); err != nil {
			t.Fatal(err)
		}
		start := regexp.MustCompile(`msg="direct commands sent" .*incarnation=\d+ token=\d+ revision=\d+ read_age_ms=\d+ commands="\[start wk-`)
		if !start.Match(logged.Bytes()) {
			t.Error("no line shows a start with its token, and with the revision and the age of the read")
		}
	})
}

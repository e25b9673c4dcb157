package controller

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"eiderhitch/internal/config"
	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

// operator are the operators' settings of a node.
func (n *node) operator() *config.Operator {
	if n.op == nil || n.version.unaware {
		return config.DefaultOperator()
	}
	return n.op
}

// stateTransport is how a node reaches the state service.
func (n *node) stateTransport() http.RoundTripper {
	if n.version.unaware {
		return unawareView{n.net}
	}
	return n.net
}

// unawareView shows the state service as a version without levels takes it: it has no use
// for the keys of levels, and can't decode a group that is not an object.
type unawareView struct{ inner http.RoundTripper }

// RoundTrip hides from an answer what such a version would not see in it.
func (v unawareView) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := v.inner.RoundTrip(r)
	if err != nil || resp.StatusCode != http.StatusOK || r.Method != http.MethodGet {
		return resp, err
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	var answer any
	if r.URL.Path == "/watch" {
		var events wire.WatchResponse
		_ = json.Unmarshal(raw, &events)
		kept := events.Events[:0]
		for _, e := range events.Events {
			if !ofLevels(e.Put + e.Delete) {
				e.Value = asUnaware(e.Value)
				kept = append(kept, e)
			}
		}
		events.Events = kept
		answer = events
	} else {
		var page wire.Page
		_ = json.Unmarshal(raw, &page)
		kept := page.Items[:0]
		for _, item := range page.Items {
			if !ofLevels(item.Key) {
				item.Value = asUnaware(item.Value)
				kept = append(kept, item)
			}
		}
		page.Items = kept
		answer = page
	}
	resp.Body = io.NopCloser(bytes.NewReader(record.JSON(answer)))
	return resp, nil
}

func ofLevels(key string) bool {
	return key == rollout.StateKey || strings.HasPrefix(key, rollout.ControllerPrefix)
}

// asUnaware has a value fail to decode that would not be an object to an earlier version.
func asUnaware(value json.RawMessage) json.RawMessage {
	if record.EncodingOf(value) > record.PlainJSON {
		return json.RawMessage("17")
	}
	return value
}

// inUpgrade runs f with a cluster whose controllers take part in staged upgrades.
func inUpgrade(t *testing.T, f func(c *cluster)) {
	inWorldWith(t, func(n *node) {
		n.op = config.DefaultOperator()
		n.op.FeatureLevels = true
	}, func(c *cluster) {
		c.upgrades = true
		f(c)
	})
}

// level is the stored state.
func (c *cluster) level() rollout.State {
	raw, ok := c.env.Store.Values(rollout.StateKey)[rollout.StateKey]
	if !ok {
		return rollout.Initial
	}
	state, err := rollout.DecodeState(raw)
	if err != nil {
		c.t.Fatal(err)
	}
	return state
}

// awaitLevel waits for a level in a phase.
func (c *cluster) awaitLevel(level rollout.Level, phase rollout.Phase, limit time.Duration) {
	c.t.Helper()
	c.await("level "+string(phase), limit, func() bool {
		s := c.level()
		return s.Level == level && s.Phase == phase
	})
}

// storeClient reaches the state service as an operator does.
func (c *cluster) storeClient() *store.Client {
	return store.NewClient(c.nodes[0].cfg.External.State, c.user)
}

// upgradeOperator is an operator of the cluster.
func (c *cluster) upgradeOperator() *rollout.Operator {
	cfg := c.nodes[0].cfg
	return &rollout.Operator{Store: c.storeClient(), Members: cfg.Nodes(), Partitions: cfg.Settings.Count, TransactionChanges: cfg.Settings.State.TxnOps}
}

// wish has an operator's wish stored, as the command does.
func (c *cluster) wish(w rollout.Wish) {
	c.t.Helper()
	op := c.upgradeOperator()
	c.await("the wish is stored", time.Minute, func() bool {
		_, err := op.Request(c.ctx, w)
		if err != nil {
			c.t.Log(err)
		}
		return err == nil
	})
}

// forms counts the stored groups by form.
func (c *cluster) forms() map[record.Encoding]int {
	out := map[record.Encoding]int{}
	for _, raw := range c.env.Store.Values(groupPrefix) {
		out[record.EncodingOf(raw)]++
	}
	return out
}

// replace has a node's process end and one of another version start in its place.
func (c *cluster) replace(i int, version softwareVersion) {
	c.kill(i)
	c.nodes[i].version = version
	time.Sleep(time.Second)
	c.start(i)
}

// softwareVersion is a version of the controller, by what it knows of feature levels.
type softwareVersion struct {
	supported rollout.Range
	unaware   bool // it does not know levels: what it writes is of the base one
}

// The versions that take part in upgrades. One that does not know levels runs the present
// code behind unawareView.
var (
	presentVersion   = softwareVersion{supported: rollout.Supported}
	baseLevelVersion = softwareVersion{supported: rollout.Range{Low: rollout.BaseLevel, High: rollout.BaseLevel}}
	unawareVersion   = softwareVersion{supported: rollout.Supported, unaware: true}
)

// reads is the range of levels whose records a version reads.
func (v softwareVersion) reads() rollout.Range {
	if v.unaware {
		return baseLevelVersion.supported
	}
	return v.supported
}

// beginUpgradeFault has a fault begin that upgrades have: what an operator asks for, and
// controllers that come back as another version and, at its end, as the present one.
func (s *scene) beginUpgradeFault(f fault) (undo func(), ok bool) {
	switch f.what {
	case "finalize":
		go s.tryWish(rollout.WishFinalize)
	case "abort":
		go s.tryWish(rollout.WishAbort)
	case "finalize and abort":
		go s.tryWish(rollout.WishFinalize)
		go s.tryWish(rollout.WishAbort)
	case "old comes":
		return s.replaceFor(f.who, unawareVersion), true
	case "base level comes":
		return s.replaceFor(f.who, baseLevelVersion), true
	default:
		return nil, false
	}
	return func() {}, true
}

// tryWish asks for something once; that it is refused, or the answer lost, is no fault.
func (s *scene) tryWish(w rollout.Wish) {
	_, err := s.upgradeOperator().Request(s.ctx, w)
	if err != nil && testing.Verbose() {
		s.t.Logf("%s: %v", w, err)
	}
}

// replaceFor has controllers come back as another version until it is undone.
func (s *scene) replaceFor(who int, version softwareVersion) func() {
	nodes := s.nodesOf(who)
	for _, i := range nodes {
		s.replace(i, version)
	}
	return func() {
		for _, i := range nodes {
			s.replace(i, presentVersion)
		}
	}
}

// noteProcess notes what a process reads, for levelHistory.
func (c *cluster) noteProcess(p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.boots == nil {
		c.boots = map[string]rollout.Range{}
	}
	c.boots[p.controller.processID] = p.version.reads()
}

// levelHistory goes through all that was ever stored, in its order, and checks it against
// the level in force at that moment.
type levelHistory struct {
	*cluster
	state   rollout.State
	checked map[string]bool // groups that are stored in the checked form
}

func (h *levelHistory) check(e wire.Event) {
	h.t.Helper()
	key := e.Put + e.Delete
	if ofLevels(key) && !h.upgrades {
		h.t.Errorf("%s is stored though nothing is switched on", key)
	}
	if key == rollout.StateKey {
		h.checkState(e)
	}
	if strings.HasPrefix(key, groupPrefix) {
		form := record.EncodingOf(e.Value)
		h.checked[key] = form == record.Checksummed
		if rollout.Level(form) > h.state.Level {
			h.t.Errorf("%s is stored in form %d at level %d", key, form, h.state.Level)
		}
	}
	if e.Put != "" && isRight(key) {
		h.checkRight(e)
	}
}

// checkState checks a change of the state: it follows from the one before, and a level
// that is given up leaves nothing behind.
func (h *levelHistory) checkState(e wire.Event) {
	h.t.Helper()
	state, err := rollout.DecodeState(e.Value)
	if err != nil {
		if !h.foreign[e.Put] {
			h.t.Error(err)
		}
		return
	}
	if d := int(state.Level) - int(h.state.Level); d < -1 || d > 1 {
		h.t.Errorf("from level %d to %d", h.state.Level, state.Level)
	}
	h.state = state
	for key, there := range h.checked {
		if there && state.Level == rollout.BaseLevel {
			h.t.Errorf("%s is in the checked form at the base level", key)
		}
	}
}

// isRight tells whether a key is that of a right at any level.
func isRight(key string) bool {
	return strings.HasSuffix(key, "/leader") || strings.Contains(key, "/part/")
}

// checkRight checks that a right is taken under the keys of the level in force, by a
// process that reads it.
func (h *levelHistory) checkRight(e wire.Event) {
	h.t.Helper()
	var holder record.LeaseHolder
	if err := wire.Decode(e.Value, &holder); err != nil {
		h.t.Error(err)
	}
	h.mu.Lock()
	reads, isProcess := h.boots[holder.ProcessID]
	h.mu.Unlock()
	if !isProcess {
		return // it was closed
	}
	prefix := strings.TrimSuffix(h.state.Keys().Leader(), "leader")
	if rest, ok := strings.CutPrefix(e.Put, prefix); !ok || strings.HasPrefix(rest, "epoch/") {
		h.t.Errorf("%s is taken by %s at level %d, epoch %d", e.Put, holder.Node, h.state.Level, h.state.Epoch)
	}
	if !h.state.Admits(reads) {
		h.t.Errorf("%s is taken by %s, which reads %s, at level %d", e.Put, holder.Node, reads, h.state.Level)
	}
}

package controller

import (
	"fmt"
	"time"

	"eiderhitch/internal/simulation/trace"
	"eiderhitch/internal/wire"
)

// everywhere asks all controllers for a job's state at once.
func (s *scene) everywhere(id string, more ...func()) {
	for i := range s.nodes {
		go s.ask(i, trace.Query, id, nil, nil)
	}
	for _, f := range more {
		go f()
	}
}

// live are jobs that nobody has called off.
func (s *scene) live() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, id := range s.ids {
		if !s.called[id] {
			out = append(out, id)
		}
	}
	return out
}

// spec is what was submitted of a job.
func (s *scene) spec(id string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.specs[id]
}

// wasCalled tells whether a job was called off.
func (s *scene) wasCalled(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.called[id]
}

// cancelJob calls a job off, by whom it may, until it is told an answer.
func (s *scene) cancelJob(id string) {
	s.mu.Lock()
	s.called[id] = true
	s.mu.Unlock()
	s.call(trace.Cancel, id, nil, nil, 5*time.Minute)
}

// atEnds has a cancellation, questions and a repeated submission meet the end of a
// job's last task.
func (s *scene) atEnds(d time.Duration, part float64) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, id := range s.live() {
			tasks, _ := s.spec(id)["eggs"].(int)
			s.mu.Lock()
			met := s.lasts[id] || s.env.Completed(id) < tasks
			if !met {
				s.lasts[id] = true
			}
			off := s.rng.Float64() < part
			s.mu.Unlock()
			if met {
				continue
			}
			again := func() { s.ask(0, trace.Submit, id, s.spec(id), nil) }
			if off {
				s.everywhere(id, again, func() { s.cancelJob(id) })
			} else {
				s.everywhere(id, again)
			}
		}
	}
}

// oddities are requests that are repeated, late or wrong.
func (s *scene) oddities(d time.Duration) {
	wrong := 0
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(700 * time.Millisecond) {
		s.mu.Lock()
		k := s.rng.IntN(4)
		id := ""
		if len(s.ids) > 0 {
			id = s.ids[s.rng.IntN(len(s.ids))]
		}
		s.mu.Unlock()
		node := wrong % len(s.nodes)
		wrong++
		body := jobBody(fmt.Sprintf("wk-9%05d", wrong), wire.Array, "blue", "normal", 1, 1, 1)
		want := 422
		switch k {
		case 0:
			if id != "" {
				s.ask(node, trace.Submit, id, s.spec(id), nil)
			}
			continue
		case 1:
			s.ask(node, trace.Query, fmt.Sprintf("wk-8%05d", wrong), nil, nil)
			continue
		case 2:
			body["cpus"] = 64
		case 3:
			delete(body, "reckonS")
			want = 400
		}
		for range 2 {
			if status, _ := s.ask(node, trace.Submit, body["nameId"].(string), body, nil); status != want && status != 503 && status != 0 {
				s.t.Errorf("odd request %v: status %d, not %d", body, status, want)
			}
		}
	}
}

// newJob submits a job of some kind.
func (s *scene) newJob() {
	s.mu.Lock()
	k := s.rng.IntN(8)
	body := jobBody("", wire.Array, []string{"red", "blue"}[s.rng.IntN(2)], []string{"low", "normal"}[s.rng.IntN(2)], 2+s.rng.IntN(12), 1, 2+float64(s.rng.IntN(12)))
	switch k {
	case 0:
		body["shape"], body["rank"], body["eggs"], body["cpus"] = wire.Service, "urgent", 1+s.rng.IntN(2), 2
	case 1:
		body["samePlace"] = true
	case 2:
		body["shore"] = []string{"a", "b"}[s.rng.IntN(2)]
	case 3:
		body["moultS"], body["stowS"] = 5, 2
	case 4:
		body["eggs"], body["reckonS"] = 2+s.rng.IntN(2), 30
	case 5, 6:
		body["shape"], body["eggs"], body["moultS"], body["stowS"] = wire.Gang, 2+s.rng.IntN(4), 4, 1.5
		body["samePlace"], body["imageGb"] = k == 5, float64(1+s.rng.IntN(5))
	}
	s.mu.Unlock()
	s.submitJob(body)
}

// submitJob gives a job a name and submits it in the background.
func (s *scene) submitJob(body map[string]any) string {
	s.mu.Lock()
	id := fmt.Sprintf("wk-%d", len(s.ids)+1)
	body["nameId"] = id
	s.ids = append(s.ids, id)
	s.specs[id] = body
	s.mu.Unlock()
	go s.trySubmit(body)
	return id
}

package controller

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"eiderhitch/internal/record"
	"eiderhitch/internal/rollout"
	"eiderhitch/internal/wire"
)

// legacyStoreView is a transport that shows the key-value store as a version without levels
// reads it: such a version ignores rollout keys and can't decode a task group that is not a
// JSON object.
type legacyStoreView struct{ inner http.RoundTripper }

// RoundTrip removes rollout keys from the response to a read and makes values undecodable that a
// version without levels can't decode.
func (v legacyStoreView) RoundTrip(r *http.Request) (*http.Response, error) {
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
			if !isRolloutKey(e.Put + e.Delete) {
				e.Value = hideEncoding(e.Value)
				kept = append(kept, e)
			}
		}
		events.Events = kept
		answer = events
	} else {
		var page wire.ItemPage
		_ = json.Unmarshal(raw, &page)
		kept := page.Items[:0]
		for _, item := range page.Items {
			if !isRolloutKey(item.Key) {
				item.Value = hideEncoding(item.Value)
				kept = append(kept, item)
			}
		}
		page.Items = kept
		answer = page
	}
	resp.Body = io.NopCloser(bytes.NewReader(record.JSON(answer)))
	return resp, nil
}

// isRolloutKey reports whether a key holds the rollout state or a controller's registration.
func isRolloutKey(key string) bool {
	return key == rollout.StateKey || strings.HasPrefix(key, rollout.RegistrationPrefix)
}

// hideEncoding replaces a value that is not a JSON object, so that decoding it fails as in an
// earlier version.
func hideEncoding(value json.RawMessage) json.RawMessage {
	if record.EncodingOf(value) > record.PlainJSON {
		return json.RawMessage("17")
	}
	return value
}

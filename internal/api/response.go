package api

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Response is the service's response to one request.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Body is encoded as JSON. If it is nil, the body is an object whose error field holds
	// Reason.
	Body any
	// RetryAfterS is the number of seconds after which the client should retry the request.
	// It accompanies status 503; if it is 0, the header is omitted.
	RetryAfterS int
	// Reason is a human-readable explanation of a refusal.
	Reason string
}

// errorBody is the body of a response whose Body is nil.
type errorBody struct {
	Error string `json:"error"`
}

// badRequest returns the response to a malformed request.
func badRequest(err error) Response {
	return Response{Status: http.StatusBadRequest, Reason: err.Error()}
}

// unavailable returns the response to a request that can't be served at present.
func unavailable(reason string) Response {
	return Response{Status: http.StatusServiceUnavailable, Reason: reason}
}

// contentType is shared by all responses, which saves an allocation for each, and is never
// modified.
var contentType = []string{"application/json"}

// write writes the response to w. A body that can't be encoded becomes status 500.
func (r Response) write(w http.ResponseWriter) {
	body := r.Body
	if body == nil {
		body = errorBody{r.Reason}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		r.Status, raw = http.StatusInternalServerError, []byte("{}")
	}
	w.Header()["Content-Type"] = contentType
	if r.RetryAfterS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(r.RetryAfterS))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(raw) // an error means that the client has disconnected; it will retry
}

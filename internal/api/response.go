package api

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Response is the answer of the service to one request.
type Response struct {
	Status int
	// Body is encoded as JSON; nil: the body is an object with the Reason as its error.
	Body any
	// RetryAfterS is after how many seconds the request should be retried; 0: not said. It
	// goes with status 503.
	RetryAfterS int
	// Reason of a refusal, for people.
	Reason string
}

// errorBody is the body of a response without one of its own.
type errorBody struct {
	Error string `json:"error"`
}

// badRequest returns the response to a request that is malformed.
func badRequest(err error) Response {
	return Response{Status: http.StatusBadRequest, Reason: err.Error()}
}

// unavailable returns the response to a request that can't be served now.
func unavailable(reason string) Response {
	return Response{Status: http.StatusServiceUnavailable, Reason: reason}
}

// contentType is shared by all responses: nobody changes it.
var contentType = []string{"application/json"}

// write sends the response.
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
	_, _ = w.Write(raw) // the client is gone: it will retry
}

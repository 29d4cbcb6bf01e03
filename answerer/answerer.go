// Package answerer defines the closed list of errors that an instance itself
// returns to callers, with the HTTP status, the outcome and the message of each
// kind.
//
// A caller needs only the outcome to decide what to do next. "not-run" guarantees
// that no server ran the request, so the caller may send it again unchanged.
// "ran" means that a server ran it. "unknown" guarantees nothing. The outcome
// covers all attempts of the request: if any attempt may have run, the outcome is
// never "not-run". That is why a Failure has the field MayHaveRun besides its
// kind.
package answerer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Kind is one entry of the closed list of errors.
type Kind string

// The error kinds.
const (
	KindNotReady       Kind = "not-ready"
	KindUnknownService Kind = "unknown-service"
	KindUnknownKey     Kind = "unknown-key"
	KindOverQuota      Kind = "over-quota"
	KindBadRequest     Kind = "bad-request"
	KindTooLarge       Kind = "too-large"
	KindHeaderLimit    Kind = "header-limit"
	KindTimeout        Kind = "request-timeout"
	KindBadDeadline    Kind = "bad-deadline"
	KindKeyMissing     Kind = "key-missing"
	KindKeyMalformed   Kind = "key-malformed"
	KindKeyMismatch    Kind = "key-mismatch"
	KindKeySpent       Kind = "key-spent"
	KindOverloaded     Kind = "overloaded"
	KindNoServer       Kind = "no-server"
	KindDeadline       Kind = "deadline-passed"
	KindServerFailed   Kind = "server-failed"
	KindTruncated      Kind = "answer-truncated"
	KindQuarantined    Kind = "quarantined"
	KindOutcomeUnknown Kind = "outcome-unknown"
	KindAlreadyRan     Kind = "already-ran"
	KindTableFull      Kind = "key-table-full"
	KindLeaving        Kind = "leaving"
	KindInternal       Kind = "internal"
)

// Outcome says whether a request ran.
type Outcome string

// The outcomes.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
)

// Response headers set by instances.
const (
	HeaderKind      = "lagoonstile-kind"
	HeaderOutcome   = "lagoonstile-outcome"
	HeaderRequestID = "lagoonstile-request-id"
	HeaderReplayed  = "lagoonstile-replayed"
)

// Entry is the table entry of one kind.
type Entry struct {
	Kind   Kind
	Status int
	// Outcome is the outcome if no attempt may have run. See Failure.Outcome.
	Outcome Outcome
	// Text is the message for the caller.
	Text string
}

// table has one entry for each kind, in the order of the constants above.
var table = []Entry{
	{KindNotReady, http.StatusServiceUnavailable, OutcomeNotRun, "This instance has no configuration in force yet. Use another address."},
	{KindUnknownService, http.StatusNotFound, OutcomeNotRun, "No service by that name or route is configured."},
	{KindUnknownKey, http.StatusUnauthorized, OutcomeNotRun, "The request has no key, or one that no client account has."},
	{KindOverQuota, http.StatusTooManyRequests, OutcomeNotRun, "The client account has used up its quota. Send the request again later."},
	{KindBadRequest, http.StatusBadRequest, OutcomeNotRun, "The request is not valid HTTP."},
	{KindTooLarge, http.StatusRequestEntityTooLarge, OutcomeNotRun, "The request is larger than this instance takes."},
	{KindHeaderLimit, http.StatusRequestHeaderFieldsTooLarge, OutcomeNotRun, "The request has more headers than this instance takes."},
	{KindTimeout, http.StatusRequestTimeout, OutcomeNotRun, "The request did not arrive in time."},
	{KindBadDeadline, http.StatusBadRequest, OutcomeNotRun, "The header lagoonstile-deadline-ms is not a whole number over 0."},
	{KindKeyMissing, http.StatusBadRequest, OutcomeNotRun, "A request to this service needs an idempotency-key that starts with the home of an entry answer."},
	{KindKeyMalformed, http.StatusBadRequest, OutcomeNotRun, "The idempotency-key does not start with the home of an entry answer."},
	{KindKeyMismatch, http.StatusUnprocessableEntity, OutcomeUnknown, "The idempotency-key was used for another request before."},
	{KindKeySpent, http.StatusConflict, OutcomeNotRun, "A request with this idempotency-key was refused before, and the key will never run. Make a new one."},
	{KindOverloaded, http.StatusServiceUnavailable, OutcomeNotRun, "There is more work of this rank than the servers can take. Send it again later."},
	{KindNoServer, http.StatusServiceUnavailable, OutcomeNotRun, "No server could be reached."},
	{KindDeadline, http.StatusGatewayTimeout, OutcomeNotRun, "The deadline passed before there was an answer."},
	{KindServerFailed, http.StatusBadGateway, OutcomeUnknown, "The server failed before its answer was complete."},
	{KindTruncated, http.StatusBadGateway, OutcomeUnknown, "The server's answer was shorter than it said."},
	{KindQuarantined, http.StatusUnprocessableEntity, OutcomeUnknown, "Servers crashed on this request, so it is not run again."},
	{KindOutcomeUnknown, http.StatusBadGateway, OutcomeUnknown, "Whether the request ran cannot be known."},
	{KindAlreadyRan, http.StatusConflict, OutcomeRan, "The request ran before; its answer is no longer kept."},
	{KindTableFull, http.StatusServiceUnavailable, OutcomeNotRun, "This instance takes no more keys for now. Ask for another home."},
	{KindLeaving, http.StatusServiceUnavailable, OutcomeNotRun, "This instance is leaving. Use another address, or ask for another home."},
	{KindInternal, http.StatusInternalServerError, OutcomeUnknown, "This instance made a mistake. It is in its log under the request id."},
}

// Table returns a copy of the table, which has one entry for each kind.
func Table() []Entry {
	return append([]Entry(nil), table...)
}

// Lookup returns the entry of a kind. It panics if the kind is none of the
// constants above.
func Lookup(kind Kind) Entry {
	for _, entry := range table {
		if entry.Kind == kind {
			return entry
		}
	}
	panic(fmt.Sprintf("answerer: kind %q is not in the table", kind))
}

// Failure is an error that an instance returns to a caller.
type Failure struct {
	Kind Kind
	// MayHaveRun is true if a server may have run some attempt of the request.
	MayHaveRun bool
	// RetryAfter is how long the caller should wait before it sends the request
	// again, or 0 if that is not known.
	RetryAfter time.Duration
	// Cause is logged and not sent to the caller. It may be nil.
	Cause error
}

var _ error = (*Failure)(nil)

// Error returns the kind and, if there is one, the cause.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return string(f.Kind)
	}
	return fmt.Sprintf("%s: %v", f.Kind, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Outcome returns the outcome over all attempts of the request.
func (f *Failure) Outcome() Outcome {
	outcome := Lookup(f.Kind).Outcome
	if outcome == OutcomeNotRun && f.MayHaveRun {
		return OutcomeUnknown
	}
	return outcome
}

// body is the JSON body of a failure's response.
type body struct {
	Kind      Kind    `json:"kind"`
	Outcome   Outcome `json:"outcome"`
	Message   string  `json:"message"`
	RequestID string  `json:"request-id"`
}

// Render returns the status, headers and body of the failure's response.
func (f *Failure) Render(requestID string) (int, http.Header, []byte) {
	entry := Lookup(f.Kind)
	data, err := json.Marshal(body{Kind: f.Kind, Outcome: f.Outcome(), Message: entry.Text, RequestID: requestID})
	if err != nil {
		panic(fmt.Sprintf("answerer: cannot marshal the response body: %v", err))
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	header.Set(HeaderKind, string(f.Kind))
	header.Set(HeaderOutcome, string(f.Outcome()))
	header.Set(HeaderRequestID, requestID)
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64))
	}
	return entry.Status, header, data
}

// Write writes the failure's response to w.
func (f *Failure) Write(w http.ResponseWriter, requestID string) {
	status, header, data := f.Render(requestID)
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(status)
	_, _ = w.Write(data) // An error means that the client is gone.
}

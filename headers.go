package lagoonstile

// Names of the headers that callers set.
const (
	HeaderService    = "lagoonstile-service"
	HeaderDeadline   = "lagoonstile-deadline-ms"
	HeaderKey        = "idempotency-key"
	HeaderIdempotent = "lagoonstile-idempotent"
	HeaderCaller     = "lagoonstile-caller"
)

// HeaderShed is set by a server on a 503 that says: this request was not run.
// Its value is one of the reasons below.
const HeaderShed = "lagoonstile-not-run"

// Reasons of servers for not running a request.
const (
	ShedOverloaded = "overloaded"
	ShedDraining   = "draining"
)

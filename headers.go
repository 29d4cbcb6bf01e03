package lagoonstile

// Request headers set by callers.
const (
	HeaderService    = "lagoonstile-service"
	HeaderDeadline   = "lagoonstile-deadline-ms"
	HeaderKey        = "idempotency-key"
	HeaderIdempotent = "lagoonstile-idempotent"
	HeaderCaller     = "lagoonstile-caller"
	HeaderCallerKey  = "lagoonstile-caller-key"
)

// HeaderShed is a response header. A server sets it on a 503 response to say
// that it did not run the request. Its value is the reason.
const HeaderShed = "lagoonstile-not-run"

// Values of HeaderShed.
const (
	ShedOverloaded = "overloaded"
	ShedDraining   = "draining"
)

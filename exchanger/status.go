package exchanger

import (
	"fmt"
	"net/http"
)

// Bounds of the status of a response (RFC 9110, section 15). The classes 1xx to 5xx
// are the only ones.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns an error if a response with the status can neither be passed on
// nor skipped: if it is no status, or if it says that the server speaks another
// protocol from then on, which no request asks for.
func CheckStatus(status int) error {
	switch {
	case status < minStatus || status > maxStatus:
		return fmt.Errorf("status %03d is not between %d and %d", status, minStatus, maxStatus)
	case status == http.StatusSwitchingProtocols:
		return fmt.Errorf("status %d without an upgrade", status)
	}
	return nil
}

// isSuccess reports whether a final response with the status says that its request has
// succeeded.
func isSuccess(status int) bool { return status < http.StatusMultipleChoices }

// isInterim reports whether a response with the status comes before the final one.
func isInterim(status int) bool { return status < http.StatusOK }

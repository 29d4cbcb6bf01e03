// Package operator implements the commands of lagoonctl: it checks an operator's
// files, shows what a change would do, publishes it and waits until it is in
// force, and reads the status of instances and the audit trail.
//
// Publishing needs no access to instances. The package reads the configuration
// stream and applies its records by the same rules as every instance. It appends
// its change and reads back whether the change took effect, so it can tell a
// change that lost to an earlier one from an append whose answer was lost.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"time"

	"github.com/google/uuid"

	"lagoonstile"
	"lagoonstile/configurer"
	"lagoonstile/encoder"
	"lagoonstile/exchanger"
	"lagoonstile/inspector"
)

// Errors of a publication. They determine the exit code of a command.
var (
	// ErrConflict means that the change did not take effect because another
	// change took effect first.
	ErrConflict = errors.New("another change came first")
	// ErrNotInForce means that the change was accepted but is not yet in force
	// on some live instance.
	ErrNotInForce = errors.New("not in force everywhere")
	// ErrInvalid means that the change breaks a rule of the configuration.
	ErrInvalid = errors.New("invalid")
)

// Intervals and timeouts.
const (
	// retryInterval is the time between two attempts while the log is
	// unavailable.
	retryInterval = 300 * time.Millisecond
	// pollInterval is the time between two reads of the instances' status.
	pollInterval = 50 * time.Millisecond
	// instanceTimeout bounds one request to an instance.
	instanceTimeout = 2 * time.Second
)

// Client gives operators access to a fleet.
type Client struct {
	// Log is not needed by Wait, Get and Drain.
	Log lagoonstile.Log
	// Instances is needed only by Wait.
	Instances lagoonstile.InstanceList
	// HTTPClient sends the requests to instances; nil means http.DefaultClient. It must not
	// be changed after the first request. Answers are checked as package inspector says, so
	// malformed ones are errors, if its transport is nil or a *http.Transport.
	HTTPClient *http.Client

	checked inspector.Client
}

// Current reads the whole configuration stream and returns a replica, which holds
// the configuration in force. It fails if records have expired and no later
// snapshot in the stream replaces them.
func (client *Client) Current(ctx context.Context) (*configurer.Replica, error) {
	replica := &configurer.Replica{}
	_, err := client.readToEnd(ctx, replica, nil)
	if err != nil {
		return nil, err
	}
	if replica.HasGap() {
		return nil, errors.New("configuration stream: records have expired and no later snapshot replaces them yet")
	}
	return replica, nil
}

// readToEnd applies the records of the configuration stream to the replica, up to
// the current end of the stream. If id is not nil, it returns the outcome of the
// first record that it read with that change, or nil if there was none.
func (client *Client) readToEnd(ctx context.Context, replica *configurer.Replica, id *lagoonstile.ChangeID) (*configurer.Outcome, error) {
	var found *configurer.Outcome
	for {
		page, err := client.Log.Read(ctx, lagoonstile.StreamConfiguration, replica.Next(), 0)
		if err != nil {
			return nil, err
		}
		replica.SkipTo(page.First)
		for _, entry := range page.Entries {
			out := replica.Apply(entry)
			if out.Verdict == configurer.VerdictAhead {
				break
			}
			if id != nil && out.Change.ID == *id && found == nil {
				found = &out
			}
		}
		if replica.Next() >= page.Next {
			return found, nil
		}
	}
}

// Publication is the result of publishing a configuration.
type Publication struct {
	// Change is empty if the configuration was already in force.
	Change lagoonstile.ChangeID `json:"change"`
	// Version is the version that the change made, or the version in force if
	// there was nothing to change.
	Version lagoonstile.Version `json:"version"`
	// Appends is how many times the change was appended. It is appended again if
	// an append returned an error and the change is not in the stream.
	Appends int `json:"appends"`
	// Winner is the change that took effect first, if the publication failed
	// with ErrConflict.
	Winner *lagoonstile.AcceptedChange `json:"winner,omitempty"`
	// InForce lists the instances on which Wait found the version in force.
	InForce []Activation `json:"in-force,omitempty"`
	// Missing lists the IDs of the live instances on which the version was not
	// in force when Wait last asked, or the error of the instance list.
	Missing []string `json:"missing,omitempty"`
}

// Activation records when Wait found a version in force on an instance.
type Activation struct {
	Instance lagoonstile.InstanceID `json:"instance"`
	// AfterMs is the time since the start of Wait, in milliseconds.
	AfterMs int64 `json:"after-ms"`
}

// Publish appends a change that turns the configuration in force into want. It
// retries while the log is unavailable, until the context ends. If want is in
// force already, it appends nothing.
func (client *Client) Publish(ctx context.Context, want lagoonstile.Configuration, reason string) (Publication, error) {
	replica, err := client.currentWithRetry(ctx)
	if err != nil {
		return Publication{}, err
	}
	change, different := replica.Configuration().Diff(want)
	if !different {
		return Publication{Version: replica.Configuration().Version}, nil
	}
	change.ID = lagoonstile.ChangeID(uuid.NewString())
	change.Author = author()
	change.Reason = reason
	return client.Append(ctx, replica, &change)
}

// Append appends a change to the stream and reads the stream to find the outcome
// of the change. If the append fails and the change is not found, Append repeats
// it until the context ends. This is safe because a change that is in the stream
// twice takes effect once. The change must have been made from the replica's
// configuration.
func (client *Client) Append(ctx context.Context, replica *configurer.Replica, change *lagoonstile.Change) (Publication, error) {
	publication := Publication{Change: change.ID}
	data, err := encoder.Encode(lagoonstile.Record{Change: change})
	if err != nil {
		return publication, err
	}
	for {
		publication.Appends++
		_, appendErr := client.Log.Append(ctx, lagoonstile.StreamConfiguration, data)
		out, err := client.readToEndWithRetry(ctx, replica, change.ID)
		if err != nil {
			return publication, err
		}
		if out != nil {
			return publication.withOutcome(out)
		}
		if appendErr == nil {
			return publication, fmt.Errorf("change %s: appended but not found in the stream", change.ID)
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return publication, fmt.Errorf("change %s: %w; last append: %w", change.ID, err, appendErr)
		}
	}
}

// withOutcome returns the publication with the outcome of its change filled in,
// and an error unless the change took effect.
func (p Publication) withOutcome(out *configurer.Outcome) (Publication, error) {
	switch out.Verdict {
	case configurer.VerdictInForce, configurer.VerdictRepeated:
		p.Version = out.Change.Version
		return p, nil
	case configurer.VerdictStaleBase:
		p.Winner = &out.Winner
		return p, fmt.Errorf("change %s: %w: change %s by %s made version %d", p.Change, ErrConflict, out.Winner.ID, out.Winner.Author, out.Winner.Version)
	}
	return p, fmt.Errorf("change %s: %w: %s: %w", p.Change, ErrInvalid, out.Verdict, out.Err)
}

// currentWithRetry calls Current until the log is available or the context ends.
// The error is that of the last attempt that did not fail because the context
// ended.
func (client *Client) currentWithRetry(ctx context.Context) (*configurer.Replica, error) {
	var lastErr error
	for {
		replica, err := client.Current(ctx)
		if err == nil || !errors.Is(err, lagoonstile.ErrUnavailable) {
			return replica, err
		}
		if lastErr == nil || ctx.Err() == nil {
			lastErr = err
		}
		if sleep(ctx, retryInterval) != nil {
			return nil, lastErr
		}
	}
}

// readToEndWithRetry calls readToEnd until the log is available or the context
// ends.
func (client *Client) readToEndWithRetry(ctx context.Context, replica *configurer.Replica, id lagoonstile.ChangeID) (*configurer.Outcome, error) {
	for {
		out, err := client.readToEnd(ctx, replica, &id)
		if err == nil || !errors.Is(err, lagoonstile.ErrUnavailable) {
			return out, err
		}
		if sleep(ctx, retryInterval) != nil {
			return nil, fmt.Errorf("change %s: cannot find out whether it was appended: %w", id, err)
		}
	}
}

// Wait polls the live instances of the instance list until all of them have the
// publication's version in force, and records the progress in the publication.
// It does not wait for an instance that leaves the list. If the context ends
// first, the error wraps ErrNotInForce.
func (client *Client) Wait(ctx context.Context, publication *Publication) error {
	start := time.Now()
	inForce := make(map[lagoonstile.InstanceID]bool)
	for {
		publication.Missing = nil
		instances, err := client.Instances.Instances(ctx)
		if err != nil {
			publication.Missing = []string{"instance list: " + err.Error()}
		}
		for _, instance := range instances {
			if inForce[instance.ID] || instance.State != lagoonstile.InstanceLive {
				continue
			}
			version, err := client.version(ctx, instance)
			if err != nil || version < publication.Version {
				publication.Missing = append(publication.Missing, string(instance.ID))
				continue
			}
			inForce[instance.ID] = true
			activation := Activation{Instance: instance.ID, AfterMs: time.Since(start).Milliseconds()}
			publication.InForce = append(publication.InForce, activation)
		}
		if len(publication.Missing) == 0 {
			return nil
		}
		if sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("version %d: %w: %v", publication.Version, ErrNotInForce, publication.Missing)
		}
	}
}

// versionStatus is the part of an instance's status that Wait reads.
type versionStatus struct {
	Version lagoonstile.Version `json:"version"`
}

func (client *Client) version(ctx context.Context, instance lagoonstile.Instance) (lagoonstile.Version, error) {
	var status versionStatus
	err := client.Get(ctx, instance.AdminAddress, "/status", &status)
	return status.Version, err
}

// Get sends a GET request to an instance and decodes its JSON answer into answer.
// address is the IP:port of the listener that serves the path.
func (client *Client) Get(ctx context.Context, address, path string, answer any) error {
	return client.request(ctx, http.MethodGet, address, path, answer)
}

// Drain makes an instance leave the fleet gracefully. It returns when the
// instance has accepted the request. address is the IP:port of its admin listener.
func (client *Client) Drain(ctx context.Context, address string) error {
	var answer struct{}
	return client.request(ctx, http.MethodPost, address, "/drain", &answer)
}

// request sends a request to an instance and decodes its JSON answer. The error
// wraps lagoonstile.ErrUnavailable if there was no complete answer.
func (client *Client) request(ctx context.Context, method, address, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	target := (&url.URL{Scheme: "http", Host: address}).String() + path
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return fmt.Errorf("instance at %s: %w", address, err)
	}
	res, err := client.checked.Do(client.HTTPClient, req)
	if err != nil {
		return fmt.Errorf("%w: instance at %s: %w", lagoonstile.ErrUnavailable, address, err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := exchanger.CheckStatus(res.StatusCode); err != nil {
		return fmt.Errorf("instance at %s: %w", address, err)
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("%w: instance at %s: %w", lagoonstile.ErrUnavailable, address, err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("instance at %s: status %d: %s", address, res.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("instance at %s: %w", address, err)
	}
	return nil
}

// author returns the author to record in a change: the value of
// LAGOONSTILE_AUTHOR, or else the login name on the operator's machine.
func author() string {
	if name := os.Getenv("LAGOONSTILE_AUTHOR"); name != "" {
		return name
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// sleep waits for a duration. It returns the context's error if the context ends
// first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

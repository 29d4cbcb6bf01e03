// Package operator does what operators ask of a fleet: check their files, show
// what a change would do, publish it and wait until it is in force, and look
// at instances and at the audit trail.
//
// It needs no access to instances to publish: it folds the configuration
// stream itself, by the rules that every instance keeps, appends its change
// and reads back what became of it. So it can tell a lost race from a lost
// answer.
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
)

// Errors of a publication. A command's exit code follows from them.
var (
	// ErrLostRace: another change came first.
	ErrLostRace = errors.New("another change came first")
	// ErrNotInForce: the change was accepted, and some instance does not have
	// it in force yet.
	ErrNotInForce = errors.New("not in force everywhere")
	// ErrInvalid: the files hold a mistake.
	ErrInvalid = errors.New("invalid")
)

// Timing of a publication.
const (
	retryPause     = 300 * time.Millisecond
	statusInterval = 50 * time.Millisecond
	statusTimeout  = 2 * time.Second
)

// Fleet is a fleet as operators reach it.
type Fleet struct {
	Log       lagoonstile.Log
	Instances lagoonstile.InstanceList
	// Client is used for the instances' admin listeners.
	Client *http.Client
}

// Current folds the configuration stream up to its tail.
func (f *Fleet) Current(ctx context.Context) (*configurer.Replica, error) {
	fold := &configurer.Replica{}
	_, err := f.follow(ctx, fold, nil)
	if err != nil {
		return nil, err
	}
	if fold.HasGap() {
		return nil, errors.New("configuration stream: records expired and no snapshot closes the gap yet")
	}
	return fold, nil
}

// follow folds the stream up to the tail that it has now. It returns what
// became of the change with the given id, if that is on the way.
func (f *Fleet) follow(ctx context.Context, fold *configurer.Replica, id *lagoonstile.ChangeID) (*configurer.Outcome, error) {
	var found *configurer.Outcome
	for {
		page, err := f.Log.Read(ctx, lagoonstile.StreamConfiguration, fold.Next(), 0)
		if err != nil {
			return nil, err
		}
		fold.SkipTo(page.First)
		for _, entry := range page.Entries {
			out := fold.Apply(entry)
			if out.Verdict == configurer.VerdictAhead {
				break
			}
			if id != nil && out.Change.ID == *id && found == nil {
				found = &out
			}
		}
		if fold.Next() >= page.Next {
			return found, nil
		}
	}
}

// Publication is what became of a change.
type Publication struct {
	Change  lagoonstile.ChangeID `json:"change"`
	Version lagoonstile.Version  `json:"version"`
	// Appends counts the tries; all but the first were for lost answers.
	Appends int `json:"appends"`
	// Winner is the change that came first, when the race was lost.
	Winner *lagoonstile.Accepted `json:"winner,omitempty"`
	// InForce says when each instance was seen with the version.
	InForce []Arrival `json:"in-force,omitempty"`
	Missing []string  `json:"missing,omitempty"`
}

// Arrival says how long after the append an instance was seen with a version.
type Arrival struct {
	Instance lagoonstile.InstanceID `json:"instance"`
	AfterMs  int64                  `json:"after-ms"`
}

// Publish appends a change that makes the configuration in force into the
// wanted one. It goes on while the log is away, until the context ends.
func (f *Fleet) Publish(ctx context.Context, want lagoonstile.Configuration, reason string) (Publication, error) {
	fold, err := f.currentPatiently(ctx)
	if err != nil {
		return Publication{}, err
	}
	change, different := fold.Configuration().Diff(want)
	if !different {
		return Publication{Version: fold.Configuration().Version}, nil
	}
	change.ID = lagoonstile.ChangeID(uuid.NewString())
	change.Author = author()
	change.Reason = reason
	return f.Append(ctx, fold, &change)
}

// Append puts a change into the stream until it is found there, and returns
// what became of it. A change that stands there twice takes effect once. The
// fold must be the one that the change was made from.
func (f *Fleet) Append(ctx context.Context, fold *configurer.Replica, change *lagoonstile.Change) (Publication, error) {
	publication := Publication{Change: change.ID}
	data, err := encoder.Encode(lagoonstile.Record{Change: change})
	if err != nil {
		return publication, err
	}
	for {
		publication.Appends++
		_, appendErr := f.Log.Append(ctx, lagoonstile.StreamConfiguration, data)
		out, err := f.followPatiently(ctx, fold, change.ID)
		if err != nil {
			return publication, err
		}
		if out != nil {
			return publication.conclude(out)
		}
		if appendErr == nil {
			return publication, fmt.Errorf("change %s: appended, and not found in the stream", change.ID)
		}
		if err := pause(ctx, retryPause); err != nil {
			return publication, fmt.Errorf("change %s: %w; last append: %w", change.ID, err, appendErr)
		}
	}
}

func (p Publication) conclude(out *configurer.Outcome) (Publication, error) {
	switch out.Verdict {
	case configurer.VerdictInForce, configurer.VerdictRepeated:
		p.Version = out.Change.Version
		return p, nil
	case configurer.VerdictStaleBase:
		p.Winner = &out.Winner
		return p, fmt.Errorf("change %s: %w: change %s of %s made version %d", p.Change, ErrLostRace, out.Winner.ID, out.Winner.Author, out.Winner.Version)
	}
	return p, fmt.Errorf("change %s: %w: %s: %w", p.Change, ErrInvalid, out.Verdict, out.Err)
}

// currentPatiently goes on until the log answers. When the time runs out, the
// error is that of the last try which the time did not cut off.
func (f *Fleet) currentPatiently(ctx context.Context) (*configurer.Replica, error) {
	var last error
	for {
		fold, err := f.Current(ctx)
		if err == nil || !errors.Is(err, lagoonstile.ErrUnavailable) {
			return fold, err
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		if pause(ctx, retryPause) != nil {
			return nil, last
		}
	}
}

func (f *Fleet) followPatiently(ctx context.Context, fold *configurer.Replica, id lagoonstile.ChangeID) (*configurer.Outcome, error) {
	for {
		out, err := f.follow(ctx, fold, &id)
		if err == nil || !errors.Is(err, lagoonstile.ErrUnavailable) {
			return out, err
		}
		if pause(ctx, retryPause) != nil {
			return nil, fmt.Errorf("change %s: whether it was appended cannot be read: %w", id, err)
		}
	}
}

// Wait waits until every live instance of the list has the version in force.
func (f *Fleet) Wait(ctx context.Context, publication *Publication) error {
	start := time.Now()
	seen := make(map[lagoonstile.InstanceID]bool)
	for {
		publication.Missing = nil
		instances, err := f.Instances.Instances(ctx)
		if err != nil {
			publication.Missing = []string{"instance list: " + err.Error()}
		}
		for _, instance := range instances {
			if seen[instance.ID] || instance.State != lagoonstile.InstanceLive {
				continue
			}
			version, err := f.version(ctx, instance)
			if err != nil || version < publication.Version {
				publication.Missing = append(publication.Missing, string(instance.ID))
				continue
			}
			seen[instance.ID] = true
			arrival := Arrival{Instance: instance.ID, AfterMs: time.Since(start).Milliseconds()}
			publication.InForce = append(publication.InForce, arrival)
		}
		if len(publication.Missing) == 0 {
			return nil
		}
		if pause(ctx, statusInterval) != nil {
			return fmt.Errorf("version %d: %w: %v", publication.Version, ErrNotInForce, publication.Missing)
		}
	}
}

// versionOnly is the part of an instance's status that Wait reads.
type versionOnly struct {
	Version lagoonstile.Version `json:"version"`
}

func (f *Fleet) version(ctx context.Context, instance lagoonstile.Instance) (lagoonstile.Version, error) {
	var status versionOnly
	err := f.Get(ctx, instance.AdminAddress, "/status", &status)
	return status.Version, err
}

// Get reads a JSON answer of an instance.
func (f *Fleet) Get(ctx context.Context, address, path string, answer any) error {
	return f.ask(ctx, http.MethodGet, address, path, answer)
}

// Drain asks an instance to leave gracefully.
func (f *Fleet) Drain(ctx context.Context, address string) error {
	var answer struct{}
	return f.ask(ctx, http.MethodPost, address, "/drain", &answer)
}

func (f *Fleet) ask(ctx context.Context, method, address, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	target := (&url.URL{Scheme: "http", Host: address}).String() + path
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return fmt.Errorf("instance at %s: %w", address, err)
	}
	res, err := f.client().Do(req)
	if err != nil {
		return fmt.Errorf("%w: instance at %s: %w", lagoonstile.ErrUnavailable, address, err)
	}
	defer func() { _ = res.Body.Close() }()
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

func (f *Fleet) client() *http.Client {
	if f.Client == nil {
		return http.DefaultClient
	}
	return f.Client
}

// author names who publishes: the login name on the operator's own machine.
func author() string {
	if name := os.Getenv("LAGOONSTILE_AUTHOR"); name != "" {
		return name
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

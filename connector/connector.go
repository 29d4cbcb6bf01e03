// Package connector speaks to the platform's services over HTTP: the
// append-only log and the instance list. The paths are those of our stand-ins;
// the users' own services get clients of the same interfaces.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lagoonstile"
)

// Bounds of one exchange with a platform service.
const (
	answerTimeout  = 5 * time.Second
	maxAnswerBytes = 64 << 20
)

// LogPage is the JSON form of a read of the log.
type LogPage struct {
	First       lagoonstile.Offset `json:"first"`
	Next        lagoonstile.Offset `json:"next"`
	RetentionMs int64              `json:"retention-ms"`
	Records     []LogRecord        `json:"records"`
}

// LogRecord is the JSON form of one entry.
type LogRecord struct {
	Offset lagoonstile.Offset `json:"offset"`
	At     time.Time          `json:"at"`
	Data   []byte             `json:"data"`
}

// LogAppended is the JSON form of the answer to an append.
type LogAppended struct {
	Offset lagoonstile.Offset `json:"offset"`
}

// Log is the client of the log service.
type Log struct {
	// Base is the service's URL without a trailing slash.
	Base string
	// Client is used for every exchange; nil stands for the default client.
	Client *http.Client
}

var _ lagoonstile.Log = (*Log)(nil)

// Append adds a record to the stream. An error that wraps ErrUnavailable does
// not tell whether the record was added.
func (l *Log) Append(ctx context.Context, stream lagoonstile.Stream, data []byte) (lagoonstile.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	var answer LogAppended
	err := exchange(ctx, l.Client, http.MethodPost, l.url(stream), bytes.NewReader(data), &answer)
	return answer.Offset, err
}

// Read returns a page of the stream.
func (l *Log) Read(ctx context.Context, stream lagoonstile.Stream, from lagoonstile.Offset, wait time.Duration) (lagoonstile.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var answer LogPage
	if err := exchange(ctx, l.Client, http.MethodGet, l.url(stream)+"?"+query.Encode(), nil, &answer); err != nil {
		return lagoonstile.Page{}, err
	}
	page := lagoonstile.Page{
		First:     answer.First,
		Next:      answer.Next,
		Retention: time.Duration(answer.RetentionMs) * time.Millisecond,
	}
	for _, record := range answer.Records {
		page.Entries = append(page.Entries, lagoonstile.Entry{Offset: record.Offset, At: record.At, Data: record.Data})
	}
	return page, nil
}

func (l *Log) url(stream lagoonstile.Stream) string {
	return l.Base + "/log/" + url.PathEscape(string(stream))
}

// InstanceList is the client of the instance list.
type InstanceList struct {
	// Base is the service's URL without a trailing slash.
	Base string
	// Client is used for every exchange; nil stands for the default client.
	Client *http.Client
}

var _ lagoonstile.InstanceList = (*InstanceList)(nil)

// Instances returns the list as the platform has it now.
func (l *InstanceList) Instances(ctx context.Context) ([]lagoonstile.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	var answer []lagoonstile.Instance
	err := exchange(ctx, l.Client, http.MethodGet, l.Base+"/instances", nil, &answer)
	return answer, err
}

// exchange sends one request and decodes the JSON answer.
func exchange(ctx context.Context, client *http.Client, method, target string, body io.Reader, answer any) error {
	if client == nil {
		client = http.DefaultClient
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, target, err)
	}
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", lagoonstile.ErrUnavailable, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s %s: status %d", lagoonstile.ErrUnavailable, method, target, res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return fmt.Errorf("%w: %s %s: %w", lagoonstile.ErrUnavailable, method, target, err)
	}
	return nil
}

// Package connector provides HTTP clients for the platform's services: the
// append-only log and the instance list. The paths are those of the stand-ins in
// cmd/standin. Other services need their own implementations of
// lagoonstile.Log and lagoonstile.InstanceList.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"lagoonstile"
	"lagoonstile/inspector"
	"lagoonstile/receiver"
)

// Limits of one request to a platform service.
const (
	// responseTimeout is how long the head of a response may take.
	responseTimeout = 5 * time.Second
	// defaultResponseBytes and maxHeadBytes are the sizes of the largest body, if no other
	// is set, and of the largest head.
	defaultResponseBytes = 64 << 20
	maxHeadBytes         = 64 << 10
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 90 * time.Second
)

// NewClient returns a client whose responses have heads of a limited size.
func NewClient() *http.Client {
	transport := &http.Transport{
		Proxy:                  http.ProxyFromEnvironment,
		DialContext:            (&net.Dialer{}).DialContext,
		MaxResponseHeaderBytes: maxHeadBytes,
		IdleConnTimeout:        idleTimeout,
	}
	return &http.Client{Transport: inspector.NewTransport(transport, inspector.DefaultLimits)}
}

// defaultClient is the client of requests for which no other is set.
var defaultClient = sync.OnceValue(NewClient)

// LogPage is the JSON form of the response to a read of the log.
type LogPage struct {
	First       lagoonstile.Offset `json:"first"`
	Next        lagoonstile.Offset `json:"next"`
	RetentionMs int64              `json:"retention-ms"`
	Records     []LogRecord        `json:"records"`
}

// LogRecord is the JSON form of one log entry.
type LogRecord struct {
	Offset lagoonstile.Offset `json:"offset"`
	At     time.Time          `json:"at"`
	Data   []byte             `json:"data"`
}

// AppendResponse is the JSON form of the response to an append.
type AppendResponse struct {
	Offset lagoonstile.Offset `json:"offset"`
}

// Log is a client of the log service.
type Log struct {
	// Base is the service's URL without a trailing slash.
	Base string
	// Client sends the requests; nil means one of NewClient. It must not be changed after
	// the first request. Responses are checked as package inspector says, if its transport
	// is nil or a *http.Transport.
	Client *http.Client
	// MaxResponseBytes is the size of the largest response; 0 means 64 MB.
	MaxResponseBytes int64

	checked inspector.Client
}

var _ lagoonstile.Log = (*Log)(nil)

// Append adds a record to the stream. If the error wraps ErrUnavailable, the
// record may or may not have been added.
func (l *Log) Append(ctx context.Context, stream lagoonstile.Stream, data []byte) (lagoonstile.Offset, error) {
	var response AppendResponse
	err := l.caller().exchange(ctx, responseTimeout, http.MethodPost, l.url(stream), bytes.NewReader(data), &response)
	return response.Offset, err
}

// Read returns the records of the stream starting at an offset. If there are none,
// it waits up to the given duration for one.
func (l *Log) Read(ctx context.Context, stream lagoonstile.Stream, from lagoonstile.Offset, wait time.Duration) (lagoonstile.Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var response LogPage
	if err := l.caller().exchange(ctx, wait+responseTimeout, http.MethodGet, l.url(stream)+"?"+query.Encode(), nil, &response); err != nil {
		return lagoonstile.Page{}, err
	}
	page := lagoonstile.Page{
		First:     response.First,
		Next:      response.Next,
		Retention: time.Duration(response.RetentionMs) * time.Millisecond,
	}
	for _, record := range response.Records {
		page.Entries = append(page.Entries, lagoonstile.Entry{Offset: record.Offset, At: record.At, Data: record.Data})
	}
	return page, nil
}

func (l *Log) url(stream lagoonstile.Stream) string {
	return l.Base + "/log/" + url.PathEscape(string(stream))
}

// InstanceList is a client of the instance list service.
type InstanceList struct {
	// Base is the service's URL without a trailing slash.
	Base string
	// Client sends the requests; nil means one of NewClient. It must not be changed after
	// the first request. Responses are checked as package inspector says, if its transport
	// is nil or a *http.Transport.
	Client *http.Client
	// MaxResponseBytes is the size of the largest response; 0 means 64 MB.
	MaxResponseBytes int64

	checked inspector.Client
}

var _ lagoonstile.InstanceList = (*InstanceList)(nil)

// Instances returns the platform's current instance list.
func (l *InstanceList) Instances(ctx context.Context) ([]lagoonstile.Instance, error) {
	var instances []lagoonstile.Instance
	err := l.caller().exchange(ctx, responseTimeout, http.MethodGet, l.Base+"/instances", nil, &instances)
	return instances, err
}

func (l *Log) caller() caller { return caller{l.Client, &l.checked, l.MaxResponseBytes} }

func (l *InstanceList) caller() caller { return caller{l.Client, &l.checked, l.MaxResponseBytes} }

// caller makes requests to a service.
type caller struct {
	client           *http.Client
	checked          *inspector.Client
	maxResponseBytes int64
}

// exchange sends one request and decodes the JSON response into response. The timeout
// is that of the head of the response. The error wraps ErrUnavailable unless the
// request itself is invalid.
func (c caller) exchange(ctx context.Context, timeout time.Duration, method, target string, body io.Reader, response any) error {
	if c.client == nil {
		c.client = defaultClient()
	}
	if c.maxResponseBytes == 0 {
		c.maxResponseBytes = defaultResponseBytes
	}
	receive, ctx := receiver.New(ctx, timeout)
	defer receive.Stop()
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, target, err)
	}
	res, err := c.checked.Do(c.client, req)
	if err != nil {
		return fmt.Errorf("%w: %w", lagoonstile.ErrUnavailable, receiver.Cause(ctx, err))
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s %s: status %d", lagoonstile.ErrUnavailable, method, target, res.StatusCode)
	}
	data, err := receive.ReadBody(res.Body, c.maxResponseBytes)
	if err != nil {
		return fmt.Errorf("%w: %s %s: %w", lagoonstile.ErrUnavailable, method, target, receiver.Cause(ctx, err))
	}
	if err := json.Unmarshal(data, response); err != nil {
		return fmt.Errorf("%w: %s %s: %w", lagoonstile.ErrUnavailable, method, target, err)
	}
	return nil
}

package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"lagoonstile/answerer"
	"lagoonstile/counter"
	"lagoonstile/listener"
	"lagoonstile/picker"
)

// copyBufferBytes is the size of the buffer through which an answer is streamed.
const copyBufferBytes = 32 << 10

// maxResumes limits how often a streamed answer is resumed at another server.
const maxResumes = 8

// kindNone is the kind of a request that did not fail.
const kindNone answerer.Kind = ""

// writeAnswer sends an answer to the caller and closes it. It returns
// KindTruncated if a streamed answer was aborted, and otherwise kindNone.
func (f *Forwarder) writeAnswer(ctx context.Context, w http.ResponseWriter, req *Request, answer *Answer) answerer.Kind {
	defer answer.Close()
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(answerer.HeaderRequestID, req.ID)
	if answer.Replayed {
		header.Set(answerer.HeaderReplayed, "yes")
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.WriteHeader(answer.Status)
	if answer.IsBuffered() {
		_, _ = w.Write(answer.Body) // The error only means that the caller has disconnected.
		return kindNone
	}
	if err := f.streamBody(ctx, w, req, answer); err != nil {
		f.Log.Info("answer-broken", "request-id", req.ID, "service", req.serviceID(), "cause", err)
		listener.Abort(w)
		return answerer.KindTruncated
	}
	return kindNone
}

// errWriteToCaller marks errors of writes to the caller. The answer is not resumed
// after such an error.
var errWriteToCaller = errors.New("write to caller failed")

// streamBody copies a streamed body to the caller and resumes it at another server
// if the server fails.
func (f *Forwarder) streamBody(ctx context.Context, w io.Writer, req *Request, answer *Answer) error {
	sent, err := copyBody(w, answer.stream)
	for resumes := 0; err != nil && resumes < maxResumes; resumes++ {
		if errors.Is(err, errWriteToCaller) || ctx.Err() != nil {
			return err
		}
		answer.target.Live.Observe(counter.ResultBad, 0)
		if !resumable(req, answer) {
			return err
		}
		var n int64
		n, err = f.resume(ctx, w, req, answer, sent)
		sent += n
	}
	if err == nil && answer.Length >= 0 && sent != answer.Length {
		return fmt.Errorf("response body has %d of %d bytes: %w", sent, answer.Length, io.ErrUnexpectedEOF)
	}
	return err
}

// copyBody copies body to the caller and returns the number of bytes written.
func copyBody(w io.Writer, body io.Reader) (int64, error) {
	var sent int64
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return sent, fmt.Errorf("%w: %w", errWriteToCaller, err)
			}
			sent += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}

// resumable reports whether the rest of an answer can be fetched with a range
// request. The server must support ranges and must have sent a strong ETag, which
// identifies the version of the content.
func resumable(req *Request, answer *Answer) bool {
	etag := answer.Header.Get("Etag")
	return req.Idempotent && req.Method == http.MethodGet &&
		answer.Status == http.StatusOK && answer.Length >= 0 &&
		answer.Header.Get("Accept-Ranges") == "bytes" &&
		etag != "" && !strings.HasPrefix(etag, "W/")
}

// resume fetches the rest of an answer from another server, starting at the byte
// offset sent, and copies it to the caller. It returns the number of bytes written.
// It fails if the other server does not return exactly the rest of the same version.
func (f *Forwarder) resume(ctx context.Context, w io.Writer, req *Request, answer *Answer, sent int64) (int64, error) {
	if !req.Entry.Budget.Take() {
		return 0, errors.New("resume: retry budget is exhausted")
	}
	rest := *req
	rest.Header = req.Header.Clone()
	rest.Header.Set("Range", fmt.Sprintf("bytes=%d-", sent))
	rest.Header.Set("If-Range", answer.Header.Get("Etag"))
	target := f.Picker.Pick(req.Entry.Pool, []*picker.Target{answer.target})
	if target == nil {
		return 0, errors.New("resume: no other server available")
	}
	if f.Recorder != nil {
		f.Recorder.Retry(req.serviceID(), false)
	}
	a := f.sendTo(ctx, &rest, target, &resultReporter{counts: target.Live, slowAfter: req.Entry.SlowAfter})
	if a.err != nil {
		return 0, a.err
	}
	defer a.answer.Close()
	if err := checkRest(answer, a.answer, sent); err != nil {
		return 0, err
	}
	if a.answer.IsBuffered() {
		n, err := w.Write(a.answer.Body)
		if err != nil {
			return int64(n), fmt.Errorf("%w: %w", errWriteToCaller, err)
		}
		return int64(n), nil
	}
	return copyBody(w, a.answer.stream)
}

// checkRest returns an error unless rest is a range response with all bytes of the
// answer starting at offset sent, and with the same ETag.
func checkRest(answer, rest *Answer, sent int64) error {
	want := fmt.Sprintf("bytes %d-%d/%d", sent, answer.Length-1, answer.Length)
	got := rest.Header.Get("Content-Range")
	if rest.Status != http.StatusPartialContent || got != want {
		return fmt.Errorf("resume: status %d, content-range %q, want %q", rest.Status, got, want)
	}
	if rest.Header.Get("Etag") != answer.Header.Get("Etag") {
		return fmt.Errorf("resume: etag %q, want %q", rest.Header.Get("Etag"), answer.Header.Get("Etag"))
	}
	if rest.Length != answer.Length-sent {
		return fmt.Errorf("resume: length %d, want %d", rest.Length, answer.Length-sent)
	}
	return nil
}

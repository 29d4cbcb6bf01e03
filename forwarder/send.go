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

// copyBytes is the piece in which a streaming answer passes through.
const copyBytes = 32 << 10

// maxResumes bounds how often a download goes on at another server.
const maxResumes = 8

// KindNone stands for an answer that a server gave.
const KindNone answerer.Kind = ""

// send passes an answer to the caller and closes it. It returns the kind of
// failure that the caller saw, if any.
func (f *Forwarder) send(ctx context.Context, w http.ResponseWriter, req *Request, answer *Answer) answerer.Kind {
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
	w.WriteHeader(knownStatus(answer.Status))
	if answer.Whole() {
		_, _ = w.Write(answer.Body) // A caller that is gone needs no answer.
		return KindNone
	}
	if err := f.stream(ctx, w, req, answer); err != nil {
		f.Log.Info("answer-broken", "request-id", req.ID, "service", req.serviceID(), "cause", err)
		listener.Abort(w)
		return answerer.KindTruncated
	}
	return KindNone
}

// knownStatus returns a status that nbhttp can write; it leaves out those that
// it has no text for.
func knownStatus(status int) int {
	if http.StatusText(status) != "" {
		return status
	}
	return status / 100 * 100
}

// errCaller wraps errors of the caller's side, which no server can mend.
var errCaller = errors.New("caller took no more")

// stream passes a body on and goes on at other servers where it breaks off.
func (f *Forwarder) stream(ctx context.Context, w io.Writer, req *Request, answer *Answer) error {
	sent, err := copyBody(w, answer.stream)
	for resumes := 0; err != nil && resumes < maxResumes; resumes++ {
		if errors.Is(err, errCaller) || ctx.Err() != nil || !resumable(req, answer) {
			return err
		}
		answer.target.Live.Observe(counter.ResultBad, 0)
		var n int64
		n, err = f.resume(ctx, w, req, answer, sent)
		sent += n
	}
	if err == nil && answer.Length >= 0 && sent != answer.Length {
		return fmt.Errorf("body has %d bytes of %d: %w", sent, answer.Length, io.ErrUnexpectedEOF)
	}
	return err
}

// copyBody returns how many bytes the caller's side took.
func copyBody(w io.Writer, body io.Reader) (int64, error) {
	var sent int64
	piece := make([]byte, copyBytes)
	for {
		n, err := body.Read(piece)
		if n > 0 {
			if _, err := w.Write(piece[:n]); err != nil {
				return sent, fmt.Errorf("%w: %w", errCaller, err)
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

// resumable reports whether the rest of an answer can be asked for by itself:
// the server must offer ranges and name the version of what it sends.
func resumable(req *Request, answer *Answer) bool {
	etag := answer.Header.Get("Etag")
	return req.Idempotent && req.Method == http.MethodGet &&
		answer.Status == http.StatusOK && answer.Length >= 0 &&
		answer.Header.Get("Accept-Ranges") == "bytes" &&
		etag != "" && !strings.HasPrefix(etag, "W/")
}

// resume fetches the bytes from sent on and passes them to the caller. An
// answer of another version of the thing is refused.
func (f *Forwarder) resume(ctx context.Context, w io.Writer, req *Request, answer *Answer, sent int64) (int64, error) {
	if !req.Entry.Budget.Take() {
		return 0, errors.New("no budget to resume")
	}
	rest := *req
	rest.Header = req.Header.Clone()
	rest.Header.Set("Range", fmt.Sprintf("bytes=%d-", sent))
	rest.Header.Set("If-Range", answer.Header.Get("Etag"))
	target := f.Picker.Pick(req.Entry.Pool, []*picker.Target{answer.target})
	if target == nil {
		return 0, errors.New("no other server to resume at")
	}
	if f.Recorder != nil {
		f.Recorder.Retry(req.serviceID(), false)
	}
	t := f.try(ctx, &rest, target, &watch{live: target.Live, after: req.Entry.SlowAfter})
	if t.err != nil {
		return 0, t.err
	}
	defer t.answer.Close()
	if err := continues(answer, t.answer, sent); err != nil {
		return 0, err
	}
	if t.answer.Whole() {
		n, err := w.Write(t.answer.Body)
		if err != nil {
			return int64(n), fmt.Errorf("%w: %w", errCaller, err)
		}
		return int64(n), nil
	}
	return copyBody(w, t.answer.stream)
}

// continues checks that next holds exactly the rest of the answer.
func continues(answer, next *Answer, sent int64) error {
	want := fmt.Sprintf("bytes %d-%d/%d", sent, answer.Length-1, answer.Length)
	got := next.Header.Get("Content-Range")
	if next.Status != http.StatusPartialContent || got != want {
		return fmt.Errorf("resume: status %d, content-range %q, want %q", next.Status, got, want)
	}
	if next.Header.Get("Etag") != answer.Header.Get("Etag") {
		return fmt.Errorf("resume: etag %q, want %q", next.Header.Get("Etag"), answer.Header.Get("Etag"))
	}
	if next.Length != answer.Length-sent {
		return fmt.Errorf("resume: length %d, want %d", next.Length, answer.Length-sent)
	}
	return nil
}

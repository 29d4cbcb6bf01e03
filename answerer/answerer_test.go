package answerer_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"lagoonstile/answerer"
)

// TestOutcomeCoversAllAttempts checks that the outcome is never "not-run" if an
// earlier attempt may have run.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	for _, entry := range answerer.Table() {
		neverRun := answerer.Failure{Kind: entry.Kind}
		if neverRun.Outcome() != entry.Outcome {
			t.Errorf("%s: outcome %s, want %s", entry.Kind, neverRun.Outcome(), entry.Outcome)
		}
		mayHaveRun := answerer.Failure{Kind: entry.Kind, MayHaveRun: true}
		if mayHaveRun.Outcome() == answerer.OutcomeNotRun {
			t.Errorf("%s: outcome not-run for a request that may have run", entry.Kind)
		}
	}
}

// TestResponsesAreComplete checks that the response of every kind has a status,
// headers and a message.
func TestResponsesAreComplete(t *testing.T) {
	seen := map[answerer.Kind]bool{}
	for _, entry := range answerer.Table() {
		if seen[entry.Kind] {
			t.Errorf("%s: duplicate table entry", entry.Kind)
		}
		seen[entry.Kind] = true
		recorder := httptest.NewRecorder()
		failure := answerer.Failure{Kind: entry.Kind}
		failure.Write(recorder, "r-1")
		res := recorder.Result()
		var body map[string]string
		if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
			t.Errorf("%s: body: %v", entry.Kind, err)
		}
		if res.StatusCode < http.StatusBadRequest || body["message"] == "" || body["request-id"] != "r-1" {
			t.Errorf("%s: status %d, body %v", entry.Kind, res.StatusCode, body)
		}
		if res.Header.Get(answerer.HeaderKind) != string(entry.Kind) || res.Header.Get(answerer.HeaderOutcome) != string(entry.Outcome) {
			t.Errorf("%s: headers %v", entry.Kind, res.Header)
		}
	}
}

// TestKindsAreDocumented checks that docs/CALLERS.md lists every kind with its
// status.
func TestKindsAreDocumented(t *testing.T) {
	data, err := os.ReadFile("../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range answerer.Table() {
		line := "| `" + string(entry.Kind) + "` | " + http.StatusText(entry.Status)
		if !strings.Contains(string(data), line) {
			t.Errorf("docs/CALLERS.md has no line starting with %q", line)
		}
	}
}

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

// TestOutcomeSpeaksOfAllTries never says "not-run" of a request that may have
// run on an earlier try.
func TestOutcomeSpeaksOfAllTries(t *testing.T) {
	for _, entry := range answerer.Table() {
		clean := answerer.Failure{Kind: entry.Kind}
		if clean.Outcome() != entry.Outcome {
			t.Errorf("%s: outcome %s, want %s", entry.Kind, clean.Outcome(), entry.Outcome)
		}
		dirty := answerer.Failure{Kind: entry.Kind, MayHaveRun: true}
		if dirty.Outcome() == answerer.OutcomeNotRun {
			t.Errorf("%s: says not-run of a request that may have run", entry.Kind)
		}
	}
}

// TestAnswersAreComplete gives every kind a status, headers and words.
func TestAnswersAreComplete(t *testing.T) {
	seen := map[answerer.Kind]bool{}
	for _, entry := range answerer.Table() {
		if seen[entry.Kind] {
			t.Errorf("%s stands twice", entry.Kind)
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

// TestKindsAreDocumented keeps docs/CALLERS.md in step with the table.
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

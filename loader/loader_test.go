package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonstile/loader"
)

// wantProblems returns the problems that a test file declares, in lines of the
// form "# want LINE: KEY: TEXT".
func wantProblems(t *testing.T, file string) []string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "# want "); ok {
			want = append(want, strings.TrimSpace(text))
		}
	}
	if len(want) == 0 {
		t.Fatalf("%s: no line starts with \"# want\"", file)
	}
	return want
}

// gotProblems returns the problems of an error in the form "LINE: KEY: TEXT".
func gotProblems(t *testing.T, err error) []string {
	t.Helper()
	var problems loader.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("error %v, want loader.Problems", err)
	}
	var got []string
	for _, problem := range problems {
		text := problem.Text
		if problem.Key != "" {
			text = problem.Key + ": " + text
		}
		got = append(got, strconv.Itoa(problem.Line)+": "+text)
	}
	return got
}

// testFiles returns the files in testdata that match a pattern.
func testFiles(t *testing.T, pattern string) []string {
	t.Helper()
	list, err := filepath.Glob(filepath.Join("testdata", pattern))
	if err != nil || len(list) == 0 {
		t.Fatalf("no test files match %s: %v", pattern, err)
	}
	return list
}

// TestSettingsProblems checks that each problem in a settings file is reported
// with its line, its key and what was expected.
func TestSettingsProblems(t *testing.T) {
	for _, file := range testFiles(t, "settings/*.toml") {
		_, err := loader.ReadSettings(file)
		if diff := cmp.Diff(wantProblems(t, file), gotProblems(t, err)); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
}

// TestConfigurationProblems checks the problems reported for inventory files and
// rules files, each read together with a valid file of the other kind.
func TestConfigurationProblems(t *testing.T) {
	const validRules = "testdata/configuration/rules.toml"
	const validInventory = "testdata/configuration/one.inventory.toml"
	for _, file := range testFiles(t, "configuration/*.inventory.toml") {
		if file == validInventory {
			continue
		}
		_, err := loader.ReadConfiguration(file, validRules)
		if diff := cmp.Diff(wantProblems(t, file), gotProblems(t, err)); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
	for _, file := range testFiles(t, "configuration/*.rules.toml") {
		_, err := loader.ReadConfiguration(validInventory, file)
		if diff := cmp.Diff(wantProblems(t, file), gotProblems(t, err)); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
}

// TestExamplesLoad checks that the example files can be read and that the
// example inventory of each deployment has the expected services and servers.
func TestExamplesLoad(t *testing.T) {
	if _, err := loader.ReadSettings("../examples/settings.toml"); err != nil {
		t.Error(err)
	}
	tests := []struct {
		deployment string
		servers    map[string]int // number of servers by service
	}{
		{"consorzio", map[string]int{"stock": 8, "orders": 17, "catalogues": 6}},
		{"mostpruefung", map[string]int{"register": 10, "entries": 21, "dossiers": 6}},
	}
	for _, test := range tests {
		cfg, err := loader.ReadConfiguration("../examples/"+test.deployment+"-inventory.toml", "../examples/"+test.deployment+"-rules.toml")
		if err != nil {
			t.Errorf("%s: %v", test.deployment, err)
			continue
		}
		got := map[string]int{}
		for id, service := range cfg.Services {
			got[string(id)] = len(service.Servers)
		}
		if diff := cmp.Diff(test.servers, got); diff != "" {
			t.Errorf("%s: %s", test.deployment, diff)
		}
	}
}

// TestUnreadableFile checks that a file that cannot be read gives the error of
// the file system instead of loader.Problems.
func TestUnreadableFile(t *testing.T) {
	var problems loader.Problems
	if _, err := loader.ReadSettings("testdata/none.toml"); err == nil || errors.As(err, &problems) {
		t.Errorf("error %v, want an error of the file system", err)
	}
}

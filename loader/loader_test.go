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

// wanted reads the problems that a data file expects: its lines of the form
// "# want LINE: KEY: TEXT".
func wanted(t *testing.T, file string) []string {
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
		t.Fatalf("%s expects no problem", file)
	}
	return want
}

// found returns the problems of an error in the same form.
func found(t *testing.T, err error) []string {
	t.Helper()
	var problems loader.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("error %v, want problems", err)
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

func files(t *testing.T, pattern string) []string {
	t.Helper()
	list, err := filepath.Glob(filepath.Join("testdata", pattern))
	if err != nil || len(list) == 0 {
		t.Fatalf("no data files %s: %v", pattern, err)
	}
	return list
}

// TestMistakesInSettings tells each mistake with its line, key and what was
// expected.
func TestMistakesInSettings(t *testing.T) {
	for _, file := range files(t, "settings/*.toml") {
		_, err := loader.ReadSettings(file)
		if diff := cmp.Diff(wanted(t, file), found(t, err)); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
}

// TestMistakesInConfiguration does the same for inventories and rules.
func TestMistakesInConfiguration(t *testing.T) {
	const rules = "testdata/configuration/rules.toml"
	const inventory = "testdata/configuration/one.inventory.toml"
	for _, file := range files(t, "configuration/*.inventory.toml") {
		if file == inventory {
			continue
		}
		_, err := loader.ReadConfiguration(file, rules)
		if diff := cmp.Diff(wanted(t, file), found(t, err)); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
	for _, file := range files(t, "configuration/*.rules.toml") {
		_, err := loader.ReadConfiguration(inventory, file)
		if diff := cmp.Diff(wanted(t, file), found(t, err)); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
}

// TestExamplesLoad keeps the examples of both deployments working.
func TestExamplesLoad(t *testing.T) {
	if _, err := loader.ReadSettings("../examples/settings.toml"); err != nil {
		t.Error(err)
	}
	sizes := []struct {
		user    string
		servers map[string]int
	}{
		{"consorzio", map[string]int{"stock": 8, "orders": 17, "catalogues": 6}},
		{"mostpruefung", map[string]int{"register": 10, "entries": 21, "dossiers": 6}},
	}
	for _, size := range sizes {
		cfg, err := loader.ReadConfiguration("../examples/"+size.user+"-inventory.toml", "../examples/"+size.user+"-rules.toml")
		if err != nil {
			t.Errorf("%s: %v", size.user, err)
			continue
		}
		got := map[string]int{}
		for id, service := range cfg.Services {
			got[string(id)] = len(service.Servers)
		}
		if diff := cmp.Diff(size.servers, got); diff != "" {
			t.Errorf("%s: %s", size.user, diff)
		}
	}
}

// TestUnreadableFile is an error and no list of problems.
func TestUnreadableFile(t *testing.T) {
	var problems loader.Problems
	if _, err := loader.ReadSettings("testdata/none.toml"); err == nil || errors.As(err, &problems) {
		t.Errorf("error %v, want one of the file system", err)
	}
}

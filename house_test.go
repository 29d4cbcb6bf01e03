package lagoonstile_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// deciders know nothing of sockets, clocks of the machine, or goroutines' edges.
var deciders = []string{
	".", "answerer", "auditor", "configurer", "controller", "counter", "deduplicator", "detector", "ejector",
	"encoder", "gossiper", "limiter", "locator", "picker", "quarantiner", "retrier", "router", "scheduler",
}

// edges may not be imported by deciders.
var edges = []string{"caller", "connector", "dispatcher", "forwarder", "linker", "listener", "loader", "operator", "recorder", "runner"}

// TestImportsGoOneWay keeps edges and sockets out of the deciders.
func TestImportsGoOneWay(t *testing.T) {
	forbidden := map[string]bool{"net": true, "os": true, "github.com/lesismal/nbio": true, "github.com/lesismal/nbio/nbhttp": true}
	for _, edge := range edges {
		forbidden["lagoonstile/"+edge] = true
	}
	for _, dir := range deciders {
		for _, file := range sources(t, dir) {
			for _, path := range importsOf(t, file) {
				// The router takes a host apart, which needs no socket.
				if forbidden[path] && !(dir == "router" && path == "net") {
					t.Errorf("%s imports %s", file, path)
				}
			}
		}
	}
}

// TestDecidersReadNoClock looks for what would make a decision depend on the
// machine. The admitter is the scheduler's edge and is not among them.
func TestDecidersReadNoClock(t *testing.T) {
	impure := regexp.MustCompile(`time\.(Now|Sleep|After|NewTimer|NewTicker)\(|\bgo func|\bgo [a-z]+\(`)
	for _, dir := range deciders {
		for _, file := range sources(t, dir) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if found := impure.Find(data); found != nil {
				t.Errorf("%s: %s", file, found)
			}
		}
	}
}

// TestSettingsAndRulesAreDocumented keeps the pages and the loader's forms in
// step, both ways.
func TestSettingsAndRulesAreDocumented(t *testing.T) {
	tests := []struct{ page, source, pattern string }{
		{"docs/SETTINGS.md", "loader/settings.go", "settingsFile"},
		{"docs/RULES.md", "loader/inventory.go", "inventoryFile"},
	}
	for _, test := range tests {
		page := read(t, test.page)
		source := read(t, test.source)
		var keys []string
		for _, match := range regexp.MustCompile("toml:\"([a-z-]+)\"").FindAllStringSubmatch(source, -1) {
			keys = append(keys, match[1])
		}
		if len(keys) < 10 {
			t.Fatalf("%s: found only %v", test.source, keys)
		}
		documented := map[string]bool{}
		for _, match := range regexp.MustCompile("(?m)^\\| `([a-z.-]+)` \\|").FindAllStringSubmatch(page, -1) {
			for part := range strings.SplitSeq(match[1], ".") {
				documented[part] = true
				if !slices.Contains(keys, part) {
					t.Errorf("%s has %s, which %s does not read", test.page, match[1], test.source)
				}
			}
		}
		for _, key := range keys {
			if !documented[key] {
				t.Errorf("%s: %s is not in %s", test.source, key, test.page)
			}
		}
	}
}

func read(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// sources lists the files of a package without its tests.
func sources(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in %s: %v", dir, err)
	}
	return slices.DeleteFunc(files, func(file string) bool { return strings.HasSuffix(file, "_test.go") })
}

func importsOf(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, spec := range parsed.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	return paths
}

package lagoonstile_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// purePackages lists the packages that use no sockets, no system clock and no
// goroutines.
var purePackages = []string{
	".", "answerer", "auditor", "authenticator", "configurer", "controller", "counter", "deduplicator", "detector", "ejector",
	"encoder", "estimator", "gossiper", "limiter", "locator", "picker", "quarantiner", "ranker", "retrier", "router", "sampler", "scheduler", "steerer", "throttler",
}

// ioPackages lists the packages that pure packages must not import.
var ioPackages = []string{
	"allocator", "caller", "connector", "dispatcher", "exchanger", "forwarder", "inspector", "linker", "listener", "loader", "logger",
	"messenger", "operator", "platform", "receiver", "recorder", "relayer", "runner",
}

// TestPurePackagesDoNotImportIOPackages checks that no pure package imports an
// I/O package or a package for sockets, files or processes.
func TestPurePackagesDoNotImportIOPackages(t *testing.T) {
	forbidden := map[string]bool{"net": true, "os": true, "github.com/lesismal/nbio": true, "github.com/lesismal/nbio/nbhttp": true}
	for _, ioPackage := range ioPackages {
		forbidden["lagoonstile/"+ioPackage] = true
	}
	for _, dir := range purePackages {
		for _, file := range sources(t, dir) {
			for _, path := range importsOf(t, file) {
				// The router uses net only to split a host and a port.
				if forbidden[path] && !(dir == "router" && path == "net") {
					t.Errorf("%s imports %s", file, path)
				}
			}
		}
	}
}

// TestPurePackagesReadNoClock checks that pure packages do not use the system
// clock, timers or goroutines, which would make their decisions
// non-deterministic. Package admitter uses them on behalf of the scheduler, so it
// is not a pure package.
func TestPurePackagesReadNoClock(t *testing.T) {
	impure := regexp.MustCompile(`time\.(Now|Sleep|After|NewTimer|NewTicker)\(|\bgo func|\bgo [a-z]+\(`)
	for _, dir := range purePackages {
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

// TestSettingsAndRulesAreDocumented checks that the documentation describes
// exactly the keys that the loader reads.
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

// TestPlatformNamesStayInPlatformPackages checks that names from the users'
// platform occur only in the packages that connect to it.
func TestPlatformNamesStayInPlatformPackages(t *testing.T) {
	names := regexp.MustCompile(`keyed\.|X-[A-Z]|path_prefix|traffic_split|LAGOONSTILE_CONFIG|lagoonstile/platform"|/lagoonstile/(readyz|resolve|log-)`)
	err := filepath.WalkDir(".", func(file string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (file == "platform" || file == filepath.Join("cmd", "standin") || file == filepath.Join("cmd", "lagoonstile")):
			return filepath.SkipDir
		case filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go"):
			return nil
		}
		for _, name := range names.FindAllString(read(t, file), -1) {
			if name != "X-F" { // X-Forwarded-For is a common header, not the platform's.
				t.Errorf("%s names %s", file, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestEventsAreDocumented checks that docs/OPERATIONS.md describes exactly the log
// events that a node on the platform writes.
func TestEventsAreDocumented(t *testing.T) {
	files := append(sources(t, "platform"), sources(t, "relayer")...)
	files = append(files, sources(t, "messenger")...)
	files = append(files, sources(t, "logger")...)
	files = append(files, sources(t, "listener")...)
	files = append(files, "runner/node.go", "runner/nodepeers.go", "runner/nodesuspects.go", "runner/quotas.go", "runner/roster.go")
	written := make(map[string]bool)
	event := regexp.MustCompile(`(?:\.(?:Info|Warn|Error)\(|event\w* *:?= )"([a-z-]+)"`)
	for _, file := range files {
		for _, match := range event.FindAllStringSubmatch(read(t, file), -1) {
			written[match[1]] = true
		}
	}
	_, section, found := strings.Cut(read(t, "docs/OPERATIONS.md"), "### Events on the platform")
	if !found {
		t.Fatal("docs/OPERATIONS.md has no section on events on the platform")
	}
	section, _, _ = strings.Cut(section, "\n#")
	documented := make(map[string]bool)
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|").FindAllStringSubmatch(section, -1) {
		documented[match[1]] = true
		if !written[match[1]] {
			t.Errorf("docs/OPERATIONS.md has %s, which nothing writes", match[1])
		}
	}
	for name := range written {
		if !documented[name] {
			t.Errorf("%s is written and not in docs/OPERATIONS.md", name)
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

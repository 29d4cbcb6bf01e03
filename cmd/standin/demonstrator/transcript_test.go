package demonstrator

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/loader"
	"lagoonstile/locator"
	"lagoonstile/operator"
	"lagoonstile/runner"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session runs a small fleet and records the commands and requests of operators and
// callers and the answers that they get. The transcript is compared with a golden
// file. Text that differs between runs is replaced by fixed names.
type session struct {
	t          *testing.T
	fleet      *Fleet
	dir        string
	transcript bytes.Buffer
	// replacements holds pairs of a text and the name that replaces it, as for
	// strings.NewReplacer.
	replacements []string
}

// sessionRules have short deadlines, so that requests without an answer end soon.
const sessionRules = `
[[rule]]
service = "stock"
rank = "lookups"
idempotent = true
deadline = "2s"
[[rule.route]]
path-prefix = "/stock"

[[rule]]
service = "orders"
rank = "orders"
deadline = "2s"
[[rule.route]]
path-prefix = "/orders"
`

func newSession(t *testing.T, instances int, settings func(*loader.Settings)) *session {
	t.Helper()
	t.Parallel()
	s := &session{t: t, dir: t.TempDir()}
	fleet, err := Start(Config{
		Domains: []lagoonstile.FailureDomain{"nord-a", "nord-b", "nord-c"},
		Groups: []ServerGroup{
			{Service: "stock", Prefix: "stock", Count: 3, ServiceTime: time.Millisecond},
			{Service: "orders", Prefix: "order", Count: 3, ServiceTime: time.Millisecond},
		},
		Rules: sessionRules, Instances: instances, Retention: time.Hour, Dir: s.dir,
		AdjustSettings: settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	s.fleet = fleet
	s.replace(fleet.Platform.URL(), "http://PLATFORM")
	s.replace(s.dir+"/", "")
	for id, server := range fleet.servers {
		s.replace(server.Address(), "ADDRESS-OF-"+strings.ToUpper(string(id)))
	}
	for _, instance := range fleet.Instances() {
		s.replaceInstanceNames(instance)
		// Changes that an instance reads before it has caught up are not audited.
		s.await("the instance has read the empty log", func() bool { return instance.Status().CaughtUp })
	}
	s.writeFile("inventory.toml", fleet.Inventory())
	s.writeFile("rules.toml", sessionRules)
	return s
}

// replace makes compareGolden replace a text by a name.
func (s *session) replace(text, name string) { s.replacements = append(s.replacements, text, name) }

// replaceInstanceNames replaces the addresses and the incarnation of an instance.
func (s *session) replaceInstanceNames(instance *runner.Instance) {
	self := instance.Identity()
	id := strings.ToUpper(string(self.Instance))
	s.replace(self.CallerAddress, id)
	s.replace(instance.AdminAddress(), id+"-ADMIN")
	s.replace(string(self.Incarnation), "INCARNATION")
}

// writeFile writes a file to the directory of the session.
func (s *session) writeFile(name, text string) {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// comment adds a comment line to the transcript.
func (s *session) comment(format string, args ...any) {
	_, _ = fmt.Fprintf(&s.transcript, "# "+format+"\n", args...)
}

// ctl runs lagoonctl, records the command, its output and its exit code, and
// returns the code. Arguments that end in .toml name files of the session.
func (s *session) ctl(args ...string) int {
	line := strings.Join(args, " ")
	full := []string{"--log", s.fleet.Platform.URL(), "--instances", s.fleet.Platform.URL()}
	for _, arg := range args {
		if strings.HasSuffix(arg, ".toml") {
			arg = filepath.Join(s.dir, arg)
		}
		full = append(full, arg)
	}
	var stdout, stderr bytes.Buffer
	command := operator.Command{Stdout: &stdout, Stderr: &stderr}
	code := command.Run(context.Background(), full)
	_, _ = fmt.Fprintf(&s.transcript, "$ lagoonctl %s\n%s%sexit %d\n\n", line, stdout.String(), stderr.String(), code)
	return code
}

// publish publishes the files of the session and waits until they are in force.
func (s *session) publish() {
	if code := s.ctl("publish", "--inventory", "inventory.toml", "--rules", "rules.toml", "--reason", "session", "--wait"); code != 0 {
		s.t.Errorf("publish: exit code %d", code)
	}
}

// request sends a request to an instance and records it with its answer.
func (s *session) request(instance *runner.Instance, method, path string, header map[string]string) *http.Response {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+instance.CallerAddress()+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	line := fmt.Sprintf("> %s %s to %s", method, path, instance.Identity().Instance)
	if key := header[lagoonstile.HeaderKey]; key != "" {
		line += " key " + key
	}
	_, _ = fmt.Fprintln(&s.transcript, line)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		_, _ = fmt.Fprintln(&s.transcript, "< no answer")
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		body = []byte("truncated")
	}
	words := []string{fmt.Sprint(res.StatusCode)}
	for _, name := range []string{answerer.HeaderKind, answerer.HeaderOutcome, answerer.HeaderReplayed} {
		if value := res.Header.Get(name); value != "" {
			words = append(words, name+"="+value)
		}
	}
	if res.Header.Get(answerer.HeaderKind) == "" {
		words = append(words, abbreviate(strings.TrimSpace(string(body))))
	}
	_, _ = fmt.Fprintln(&s.transcript, "< "+strings.Join(words, " "))
	return res
}

// abbreviate returns a short body as it is, and the length of a long one.
func abbreviate(body string) string {
	if len(body) > 200 {
		return fmt.Sprintf("%d bytes", len(body))
	}
	return body
}

// homeToken returns the home token that entry answers give for an instance.
func homeToken(instance *runner.Instance) string {
	self := instance.Identity()
	return lagoonstile.Home{Instance: self.Instance, Incarnation: self.Incarnation, Epoch: 1}.String()
}

// keyHeader returns a header with an idempotency key whose home is the instance.
func keyHeader(instance *runner.Instance, suffix string) map[string]string {
	return map[string]string{lagoonstile.HeaderKey: homeToken(instance) + "." + suffix}
}

// await waits until a condition holds, and fails the test after 30 s.
func (s *session) await(what string, condition func() bool) {
	s.t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("not within 30 s: %s", what)
}

// awaitPeers waits until the entry answers of every instance name all instances,
// which requires that each of them receives digests from all others.
func (s *session) awaitPeers() {
	s.t.Helper()
	instances := s.fleet.Instances()
	for _, instance := range instances {
		s.await("entry answers name all instances", func() bool {
			var answer locator.Answer
			err := (&operator.Client{}).Get(context.Background(), instance.CallerAddress(), "/lagoonstile/entry?service=stock", &answer)
			return err == nil && len(answer.Addresses) == len(instances)
		})
	}
}

// volatilePatterns lists patterns of text that differs between runs.
var volatilePatterns = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "UUID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z`), "TIME"},
	{regexp.MustCompile(`after \d+ ms`), "after N ms"},
	{regexp.MustCompile(`by (stock|order)-\d`), "by $1-N"},
	{regexp.MustCompile(`home proxy-\d`), "home proxy-N"},
	{regexp.MustCompile(`  PROXY-\d in nord-\w`), "  PROXY-N in DOMAIN"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "IP:PORT"},
}

// compareGolden compares the transcript with a golden file, or rewrites the file if
// the update flag is set.
func (s *session) compareGolden(name string) {
	s.t.Helper()
	got := strings.NewReplacer(s.replacements...).Replace(s.transcript.String())
	for _, v := range volatilePatterns {
		got = v.pattern.ReplaceAllString(got, v.name)
	}
	file := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
			s.t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		s.t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		s.t.Errorf("%s differs (-want +got):\n%s", file, diff)
	}
}

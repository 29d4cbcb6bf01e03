// Package loader reads the files that operators write: the settings of an
// instance, the inventory of servers, and the rules. All are TOML with
// kebab-case keys.
//
// A mistake is told with file, line, key and what was expected, and all
// mistakes of a file at once. A key that nothing reads is a mistake: it is most
// often a misspelt one, and then the default would hold in silence.
package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one mistake in a file.
type Problem struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Key  string `json:"key,omitempty"`
	Text string `json:"text"`
}

// String returns the problem as "file:line: key: text".
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Problems is every mistake found, in the order of the files.
type Problems []Problem

var _ error = Problems(nil)

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// document is a file that was read, with what was found wrong in it.
type document struct {
	file     string
	at       positions
	problems Problems
}

// read decodes a file into v. Mistakes of form end up in the document; the
// error is for a file that cannot be read at all.
func read(file string, v any) (*document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	d := &document{file: file, at: locate(data)}
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	d.note(decoder.Decode(v))
	return d, nil
}

// note takes over the mistakes that the decoder found.
func (d *document) note(err error) {
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		for i := range unknown.Errors {
			line, _ := unknown.Errors[i].Position()
			d.add(line, strings.Join(unknown.Errors[i].Key(), "."), "unknown key")
		}
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		d.add(line, strings.Join(wrong.Key(), "."), strings.TrimPrefix(wrong.Error(), "toml: "))
	default:
		d.add(1, "", err.Error())
	}
}

func (d *document) add(line int, key, text string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Key: key, Text: text})
}

// wrong notes a mistake at a key, which may be missing from the file.
func (d *document) wrong(key, format string, args ...any) {
	d.add(d.at.line(key), key, fmt.Sprintf(format, args...))
}

// err returns the problems as an error, or nil when there are none.
func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.problems
}

// address notes a mistake unless text is IP:port.
func (d *document) address(key, text string) {
	if text == "" {
		d.wrong(key, "missing; expected IP:port")
		return
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		d.wrong(key, "%q; expected IP:port", text)
	}
}

// span is a time span in a file, written like "250ms" or "10s".
type span time.Duration

// UnmarshalText reads a span.
func (s *span) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q; expected a time with its unit, like 250ms or 10s", text)
	}
	*s = span(value)
	return nil
}

// Package loader reads and checks the files that operators write: the settings
// of an instance, the inventory of servers, and the rules. All are TOML files
// with kebab-case keys.
//
// Every problem is reported with its file, line and key, and with what was
// expected. All problems that a check finds in a file are reported together. An
// unknown key is a problem too: it is usually misspelled, and the default would
// silently apply instead of the intended value.
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

// Problem is one problem in a file.
type Problem struct {
	File string `json:"file"`
	// Line is the line number, counted from 1.
	Line int `json:"line"`
	// Key is the dotted path of the key, such as "limits.idle". It is empty if
	// the problem concerns the whole file.
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

// Problems holds all problems found, grouped by file.
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

// document is a file that was read, with the problems found in it.
type document struct {
	file     string
	keyLines keyLines
	problems Problems
}

// read decodes a file into v. Syntax errors, unknown keys and values of the
// wrong type are added to the document's problems; the error is set only if the
// file cannot be read.
func read(file string, v any) (*document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	d := &document{file: file, keyLines: parseKeyLines(data)}
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	d.addDecodeError(decoder.Decode(v))
	return d, nil
}

// addDecodeError adds the problems that the decoder reported. err may be nil.
func (d *document) addDecodeError(err error) {
	var unknownKeys *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknownKeys):
		for i := range unknownKeys.Errors {
			line, _ := unknownKeys.Errors[i].Position()
			d.add(line, strings.Join(unknownKeys.Errors[i].Key(), "."), "unknown key")
		}
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		d.add(line, strings.Join(decodeErr.Key(), "."), strings.TrimPrefix(decodeErr.Error(), "toml: "))
	default:
		d.add(1, "", err.Error())
	}
}

func (d *document) add(line int, key, text string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Key: key, Text: text})
}

// errorf adds a problem with a key. The key may be missing from the file; the
// problem then gets the line of the nearest enclosing table.
func (d *document) errorf(key, format string, args ...any) {
	d.add(d.keyLines.line(key), key, fmt.Sprintf(format, args...))
}

// err returns the problems as an error, or nil if there are none.
func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.problems
}

// checkAddress adds a problem unless text has the form IP:port.
func (d *document) checkAddress(key, text string) {
	if text == "" {
		d.errorf(key, "missing; expected IP:port")
		return
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		d.errorf(key, "%q; expected IP:port", text)
	}
}

// duration is a time.Duration that is written in a file as "250ms" or "10s".
type duration time.Duration

// UnmarshalText parses a duration with a unit.
func (d *duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q; expected a duration with a unit, such as 250ms or 10s", text)
	}
	*d = duration(value)
	return nil
}

package loader

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps the path of each key of a document to its line. Elements of
// arrays of tables have their index in the path: "service.0.server.2.address".
type positions map[string]int

// locate reads the positions of a document. A document with a syntax error has
// those before the error.
func locate(data []byte) positions {
	found := make(positions)
	counts := make(map[string]int)
	prefix := ""
	lines := lineStarts(data)
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		expression := parser.Expression()
		line, key := firstKey(lines, expression)
		switch expression.Kind {
		case unstable.Table:
			prefix = withIndexes(key, counts)
			found[prefix] = line
		case unstable.ArrayTable:
			parent, last := split(key)
			path := join(withIndexes(parent, counts), last)
			prefix = join(path, strconv.Itoa(counts[path]))
			counts[path]++
			found[prefix] = line
		case unstable.KeyValue:
			found[join(prefix, key)] = line
		}
	}
	return found
}

// line returns the line of a key, or else that of the nearest table around it.
func (p positions) line(key string) int {
	for key != "" {
		if line, ok := p[key]; ok {
			return line
		}
		key, _ = split(key)
	}
	return 1
}

// firstKey returns the line and the dotted key of an expression.
func firstKey(lines []uint32, expression *unstable.Node) (int, string) {
	var parts []string
	line := 0
	keys := expression.Key()
	for keys.Next() {
		node := keys.Node()
		if line == 0 {
			line = lineOf(lines, node.Raw.Offset)
		}
		parts = append(parts, string(node.Data))
	}
	return line, strings.Join(parts, ".")
}

// lineStarts returns the offset of each line. The parser's own positions count
// lines from the start of the file each time, which a large inventory feels.
func lineStarts(data []byte) []uint32 {
	starts := []uint32{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, uint32(i+1))
		}
	}
	return starts
}

// lineOf returns the line, from 1 on, that an offset lies in.
func lineOf(starts []uint32, offset uint32) int {
	at, found := slices.BinarySearch(starts, offset)
	if found {
		return at + 1
	}
	return at
}

// withIndexes puts the index of the latest element after each array of tables
// in the path.
func withIndexes(path string, counts map[string]int) string {
	out := ""
	for part := range strings.SplitSeq(path, ".") {
		out = join(out, part)
		if n := counts[out]; n > 0 {
			out = join(out, strconv.Itoa(n-1))
		}
	}
	return out
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	if key == "" {
		return prefix
	}
	return prefix + "." + key
}

// split cuts the last part off a path.
func split(path string) (parent, last string) {
	at := strings.LastIndexByte(path, '.')
	if at < 0 {
		return "", path
	}
	return path[:at], path[at+1:]
}

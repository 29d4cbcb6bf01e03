package loader

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps the dotted path of each key and table of a TOML document to its
// line, counted from 1. Paths include the index of each element of an array of
// tables, as in "service.0.server.2.address".
type keyLines map[string]int

// parseKeyLines returns the lines of all keys of a document. If the document
// has a syntax error, the keys before the error are returned.
func parseKeyLines(data []byte) keyLines {
	lines := make(keyLines)
	counts := make(map[string]int)
	prefix := ""
	starts := lineStarts(data)
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		expression := parser.Expression()
		line, key := dottedKey(starts, expression)
		switch expression.Kind {
		case unstable.Table:
			prefix = withIndexes(key, counts)
			lines[prefix] = line
		case unstable.ArrayTable:
			parent, last := splitLast(key)
			path := joinPath(withIndexes(parent, counts), last)
			prefix = joinPath(path, strconv.Itoa(counts[path]))
			counts[path]++
			lines[prefix] = line
		case unstable.KeyValue:
			lines[joinPath(prefix, key)] = line
		}
	}
	return lines
}

// line returns the line of a key. If the document does not have the key, it
// returns the line of the nearest enclosing table, or else 1.
func (l keyLines) line(key string) int {
	for key != "" {
		if line, ok := l[key]; ok {
			return line
		}
		key, _ = splitLast(key)
	}
	return 1
}

// dottedKey returns the dotted key of an expression and the line on which the key
// starts.
func dottedKey(starts []uint32, expression *unstable.Node) (int, string) {
	var parts []string
	line := 0
	keys := expression.Key()
	for keys.Next() {
		node := keys.Node()
		if line == 0 {
			line = lineOf(starts, node.Raw.Offset)
		}
		parts = append(parts, string(node.Data))
	}
	return line, strings.Join(parts, ".")
}

// lineStarts returns the byte offset at which each line starts. The parser's own
// line lookup is not used because it counts from the start of the file each time,
// which is slow for a large inventory.
func lineStarts(data []byte) []uint32 {
	starts := []uint32{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, uint32(i+1))
		}
	}
	return starts
}

// lineOf returns the line, counted from 1, that contains a byte offset.
func lineOf(starts []uint32, offset uint32) int {
	i, found := slices.BinarySearch(starts, offset)
	if found {
		return i + 1
	}
	return i
}

// withIndexes returns path with the index of the latest element inserted after
// the name of each array of tables. counts holds the number of elements that each
// array has so far, by its path.
func withIndexes(path string, counts map[string]int) string {
	out := ""
	for part := range strings.SplitSeq(path, ".") {
		out = joinPath(out, part)
		if n := counts[out]; n > 0 {
			out = joinPath(out, strconv.Itoa(n-1))
		}
	}
	return out
}

func joinPath(prefix, key string) string {
	if prefix == "" {
		return key
	}
	if key == "" {
		return prefix
	}
	return prefix + "." + key
}

// splitLast splits a path before its last part.
func splitLast(path string) (parent, last string) {
	dot := strings.LastIndexByte(path, '.')
	if dot < 0 {
		return "", path
	}
	return path[:dot], path[dot+1:]
}

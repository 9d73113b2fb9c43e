package configurer

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
)

// The YAML decoder needs memory that grows with the square of the nesting, and a
// running process reads its settings again. So what is larger or deeper than
// settings can be is not decoded.
const (
	maxSettingsBytes = 1 << 20
	maxNesting       = 64
	// maxIndentation bounds the spaces before a key, which nest as well.
	maxIndentation = 256
)

// checkNesting returns an error if a document is too large or nests too deeply.
// It counts brackets also where they are part of a text.
func checkNesting(data []byte) error {
	if len(data) > maxSettingsBytes {
		return errors.Newf("at most %d bytes, not %d", maxSettingsBytes, len(data))
	}
	depth, number := 0, 0
	for line := range bytes.Lines(data) {
		number++
		content := bytes.TrimLeft(line, " ")
		if len(line)-len(content) > maxIndentation {
			return errors.Newf("at most %d spaces before a key, in line %d", maxIndentation, number)
		}
		if entries := leadingEntries(content); entries > maxNesting {
			return errors.New(nestingText(number))
		}
		for _, c := range content {
			switch c {
			case '[', '{':
				depth++
			case ']', '}':
				depth--
			}
			if depth > maxNesting {
				return errors.New(nestingText(number))
			}
		}
	}
	return nil
}

func nestingText(line int) string {
	return fmt.Sprintf("at most %d levels of nesting, in line %d", maxNesting, line)
}

// leadingEntries counts the indicators of list entries and keys with which a line
// begins.
func leadingEntries(line []byte) int {
	count := 0
	for len(line) > 1 && bytes.IndexByte([]byte("-?:"), line[0]) >= 0 && (line[1] == ' ' || line[1] == '\t') {
		count++
		line = bytes.TrimLeft(line[1:], " \t")
	}
	return count
}

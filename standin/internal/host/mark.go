package host

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// markPrefix precedes the mark in a prompt or body.
const markPrefix = "mark:"

// Mark returns the mark of a text, which identifies the request in its answer: the
// letters, digits, '-' and '_' that follow the first "mark:". The mark of a text
// that has none is its hash.
func Mark(text string) string {
	at := strings.Index(text, markPrefix)
	if at >= 0 {
		mark := text[at+len(markPrefix):]
		if end := strings.IndexFunc(mark, isMarkEnd); end >= 0 {
			mark = mark[:end]
		}
		if mark != "" {
			return mark
		}
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}

// isMarkEnd reports whether r cannot be part of a mark.
func isMarkEnd(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_':
		return false
	}
	return true
}

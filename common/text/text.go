// Package text handles text that others send.
package text

import "strings"

// Cut returns at most the first n bytes of a text, without a character that is cut in two. What it cuts isn't kept in
// memory.
func Cut(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.Clone(strings.ToValidUTF8(s[:n], ""))
}

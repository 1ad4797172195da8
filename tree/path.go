// Package tree implements the operators' settings tree: customers, their services
// and the services' events. Each node inherits the settings that it doesn't
// override from its parent. A Tree is immutable; an edit returns a new one.
package tree

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/pointpass/pointpass/common/text"
)

// Level is the depth of a path in the tree.
type Level int

// The levels of the tree, outermost first.
const (
	RootLevel Level = iota
	CustomerLevel
	ServiceLevel
	EventLevel
)

var levelNames = [...]string{"root", "customer", "service", "event"}

// String returns the level's name.
func (l Level) String() string { return levelNames[l] }

// Path names a node of the tree: "/", "/customer", "/customer/service" or
// "/customer/service/event".
type Path string

// Root is the path of the node that all others inherit from.
const Root Path = "/"

// maxNameBytes is the length of the longest name, maxPathBytes that of the longest path.
const (
	maxNameBytes = 63
	maxPathBytes = int(EventLevel) * (len("/") + maxNameBytes)
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ParsePath validates a path.
func ParsePath(s string) (Path, error) {
	if s == string(Root) {
		return Root, nil
	}
	if len(s) > maxPathBytes {
		return "", &FieldError{path: text.Cut(s, maxPathBytes), text: "paths have at most " + strconv.Itoa(maxPathBytes) + " bytes"}
	}
	names := strings.Split(strings.TrimPrefix(s, "/"), "/")
	if !strings.HasPrefix(s, "/") || len(names) > int(EventLevel) {
		return "", &FieldError{path: s, text: "want / or /customer[/service[/event]]"}
	}
	for _, name := range names {
		if !validName.MatchString(name) {
			return "", &FieldError{path: s, text: "names are made of a-z, 0-9 and -, at most 63 of them"}
		}
	}
	return Path(s), nil
}

// NewPath returns the path of the names, which start below the root.
func NewPath(names ...string) Path { return Path("/" + strings.Join(names, "/")) }

// Level returns the path's depth.
func (p Path) Level() Level {
	if p == Root {
		return RootLevel
	}
	return Level(strings.Count(string(p), "/"))
}

// Parent returns the path that this one inherits from. The root is its own parent.
func (p Path) Parent() Path {
	i := strings.LastIndexByte(string(p), '/')
	if i <= 0 {
		return Root
	}
	return p[:i]
}

// Customer returns the name of the customer that the path belongs to.
func (p Path) Customer() string {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(p), "/"), "/")
	return name
}

// Within reports whether the path is at or below another.
func (p Path) Within(other Path) bool {
	return other == Root || p == other || strings.HasPrefix(string(p), string(other)+"/")
}

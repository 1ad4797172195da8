package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/google/uuid"

	"github.com/pointpass/pointpass/common/jsonc"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/tree"
)

// document is the settings tree in the form that "tree get" prints and "tree edit"
// reads: the overridden fields of each path.
type document map[string]map[string]json.RawMessage

func (c *client) treeGet(ctx context.Context, args []string) error {
	path := string(tree.Root)
	if len(args) == 1 {
		path = args[0]
	}
	reply, err := c.operator.TreeGet(ctx, &rpc.TreeGetRequest{Path: path})
	if err != nil {
		return err
	}
	doc, err := newDocument(reply)
	if err != nil {
		return err
	}
	if c.json {
		effective := json.RawMessage(reply.EffectiveJson)
		return c.printJSON(struct {
			Revision  uint64          `json:"revision"`
			Nodes     document        `json:"nodes"`
			Effective json.RawMessage `json:"effective,omitempty"`
		}{reply.Revision, doc, effective})
	}
	fmt.Fprintf(c.stdout, "// Revision %d.\n", reply.Revision)
	return c.printJSON(doc)
}

func newDocument(reply *rpc.TreeGetReply) (document, error) {
	doc := document{}
	for _, node := range reply.Nodes {
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(node.FieldsJson, &fields); err != nil {
			return nil, err
		}
		doc[node.Path] = fields
	}
	return doc, nil
}

func (c *client) printJSON(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.stdout, string(data))
	return err
}

func (c *client) treeSet(ctx context.Context, args []string) error {
	if !json.Valid([]byte(args[2])) {
		return &usageError{text: fmt.Sprintf("%s: not JSON: %s (strings need JSON quotes)", args[1], args[2])}
	}
	return c.editField(ctx, args[0], args[1], []byte(args[2]))
}

func (c *client) treeUnset(ctx context.Context, args []string) error {
	return c.editField(ctx, args[0], args[1], nil)
}

func (c *client) editField(ctx context.Context, path, field string, value []byte) error {
	reply, err := c.operator.TreeGet(ctx, &rpc.TreeGetRequest{Path: string(tree.Root)})
	if err != nil {
		return err
	}
	change := &rpc.FieldChange{Path: path, Field: field, ValueJson: value}
	return c.sendEdit(ctx, reply.Revision, []*rpc.FieldChange{change})
}

func (c *client) sendEdit(ctx context.Context, base uint64, changes []*rpc.FieldChange) error {
	if c.id == "" {
		c.id = uuid.NewString()
	}
	if c.base != 0 {
		base = c.base
	}
	reply, err := c.operator.TreeEdit(ctx, &rpc.TreeEditRequest{
		Id:           c.id,
		Who:          c.who,
		Why:          c.why,
		BaseRevision: base,
		Changes:      changes,
	})
	if err != nil {
		return fmt.Errorf("%w\nIf the response was lost, repeat the command with -id %s", err, c.id)
	}
	if reply.Conflict != "" {
		return &conflictError{text: reply.Conflict}
	}
	fmt.Fprintf(c.stdout, "accepted as revision %d\n", reply.Revision)
	return nil
}

// readDocument reads a file for "tree edit". Its error lists every invalid field
// with its line.
func readDocument(file string) (document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	parsed, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	doc := document{}
	if err := parsed.Decode(&doc); err != nil {
		return nil, err
	}
	var errs []error
	for _, path := range slices.Sorted(maps.Keys(doc)) {
		for _, field := range slices.Sorted(maps.Keys(doc[path])) {
			if _, err := tree.NewChange(path, field, doc[path][field]); err != nil {
				errs = append(errs, parsed.ErrorIn([]string{path, field}, "%v", err))
			}
		}
	}
	return doc, errors.Join(errs...)
}

func (c *client) check(_ context.Context, args []string) error {
	if _, err := readDocument(args[0]); err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "%s: ok\n", args[0])
	return nil
}

func (c *client) treeEdit(ctx context.Context, args []string) error {
	revision, changes, err := c.diffFile(ctx, args[0])
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		fmt.Fprintln(c.stdout, "nothing to change")
		return nil
	}
	return c.sendEdit(ctx, revision, changes)
}

func (c *client) treeDiff(ctx context.Context, args []string) error {
	_, changes, err := c.diffFile(ctx, args[0])
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(changes)
	}
	for _, change := range changes {
		value := string(change.ValueJson)
		if value == "" {
			value = "(removed)"
		}
		fmt.Fprintf(c.stdout, "%s %s: %s\n", change.Path, change.Field, value)
	}
	return nil
}

// diffFile returns the current revision and the changes that make the tree match a
// file.
func (c *client) diffFile(ctx context.Context, file string) (uint64, []*rpc.FieldChange, error) {
	desired, err := readDocument(file)
	if err != nil {
		return 0, nil, err
	}
	reply, err := c.operator.TreeGet(ctx, &rpc.TreeGetRequest{Path: string(tree.Root)})
	if err != nil {
		return 0, nil, err
	}
	current, err := newDocument(reply)
	if err != nil {
		return 0, nil, err
	}
	return reply.Revision, diffDocuments(current, desired), nil
}

func diffDocuments(current, desired document) []*rpc.FieldChange {
	var changes []*rpc.FieldChange
	for _, path := range slices.Sorted(maps.Keys(desired)) {
		for _, field := range slices.Sorted(maps.Keys(desired[path])) {
			value := compactJSON(desired[path][field])
			if !bytes.Equal(value, compactJSON(current[path][field])) {
				changes = append(changes, &rpc.FieldChange{Path: path, Field: field, ValueJson: value})
			}
		}
	}
	for _, path := range slices.Sorted(maps.Keys(current)) {
		for _, field := range slices.Sorted(maps.Keys(current[path])) {
			if _, kept := desired[path][field]; !kept {
				changes = append(changes, &rpc.FieldChange{Path: path, Field: field})
			}
		}
	}
	return changes
}

func compactJSON(value json.RawMessage) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, value); err != nil {
		return value
	}
	return b.Bytes()
}

func (c *client) treeHistory(ctx context.Context, args []string) error {
	prefix := "tree/"
	if len(args) == 1 {
		prefix = "tree/" + strings.TrimPrefix(args[0], "/")
	}
	return c.showAudit(ctx, func(e *rpc.AuditEntry) bool {
		return e.What == "settings.edit" && strings.HasPrefix(e.Subject, prefix)
	})
}

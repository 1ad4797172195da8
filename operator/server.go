// Package operator serves the operators' client: commands that edit the settings
// or announce stops, and read-only queries.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pointpass/pointpass/audit"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/stops"
	"github.com/pointpass/pointpass/tree"
)

// Editor writes accepted edits.
type Editor interface {
	Edit(ctx context.Context, req tree.Request) (uint64, *tree.Tree, error)
}

// Announcer writes and removes planned stops.
type Announcer interface {
	Announce(ctx context.Context, s stops.Stop) error
	Cancel(ctx context.Context, id, who string) error
}

// Options holds the dependencies of a Server.
type Options struct {
	Tree func() *tree.Tree
	// Refresh reads changes from the platform's table, if it is reachable, so
	// that operators see the newest settings.
	Refresh func(ctx context.Context)
	Editor  Editor
	// OnEditAccepted is called with the tree that results from an accepted edit.
	OnEditAccepted func(*tree.Tree)
	Announcer      Announcer
	Stops          func() []stops.Stop
	// Exists reports whether there is such a VM or group.
	Exists func(vm, group string) bool
	Audit  audit.Reader
	Status func() *rpc.StatusReply
	// OnChange is called after each accepted command.
	OnChange func()
	Now      func() time.Time
}

// Server answers the operators' client. It implements rpc.Operator.
type Server struct {
	opts Options
}

// NewServer returns a server with the given dependencies.
func NewServer(opts Options) *Server { return &Server{opts: opts} }

// TreeGet returns the settings at and below a path.
func (s *Server) TreeGet(ctx context.Context, m *rpc.TreeGetRequest) (*rpc.TreeGetReply, error) {
	path, err := tree.ParsePath(m.Path)
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	s.opts.Refresh(ctx)
	t := s.opts.Tree()
	if t == nil {
		return nil, twirp.Unavailable.Error("this daemon has no settings yet")
	}
	reply := &rpc.TreeGetReply{Revision: t.Revision()}
	for _, p := range t.Paths(path) {
		data, _ := json.Marshal(t.Overrides(p))
		reply.Nodes = append(reply.Nodes, &rpc.SettingsNode{Path: string(p), FieldsJson: data})
	}
	if effective, ok := t.Effective(path); ok {
		reply.EffectiveJson, _ = json.Marshal(effective)
	}
	return reply, nil
}

// TreeEdit commits an edit, or returns the conflict or error that prevents it.
func (s *Server) TreeEdit(ctx context.Context, m *rpc.TreeEditRequest) (*rpc.TreeEditReply, error) {
	if m.Id == "" || m.Who == "" {
		return nil, twirp.InvalidArgument.Error("an edit needs an id and the operator's name")
	}
	var changes []tree.Change
	for _, c := range m.Changes {
		change, err := tree.NewChange(c.Path, c.Field, c.ValueJson)
		if err != nil {
			return nil, twirp.InvalidArgument.Error(err.Error())
		}
		changes = append(changes, change)
	}
	revision, t, err := s.opts.Editor.Edit(ctx, tree.NewRequest(m.Id, m.Who, m.Why, m.BaseRevision, changes))
	if err != nil {
		return editError(err)
	}
	s.opts.OnEditAccepted(t)
	s.opts.OnChange()
	return &rpc.TreeEditReply{Revision: revision}, nil
}

func editError(err error) (*rpc.TreeEditReply, error) {
	var conflict *tree.ConflictError
	if errors.As(err, &conflict) {
		return &rpc.TreeEditReply{Conflict: conflict.Error()}, nil
	}
	var field *tree.FieldError
	if errors.As(err, &field) {
		return nil, twirp.InvalidArgument.Error(field.Error())
	}
	return nil, twirp.Unavailable.Error(err.Error())
}

// maxAuditEntries is the maximum number of audit entries in one reply.
const maxAuditEntries = 10_000

// Audit returns the newest entries of the audit trail.
func (s *Server) Audit(ctx context.Context, m *rpc.AuditRequest) (*rpc.AuditReply, error) {
	if m.Limit < 1 || m.Limit > maxAuditEntries {
		return nil, twirp.InvalidArgument.Error(fmt.Sprintf("limit: want 1 to %d", maxAuditEntries))
	}
	entries, err := audit.Last(ctx, s.opts.Audit, int(m.Limit))
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	reply := &rpc.AuditReply{}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, &rpc.AuditEntry{
			TimeUnixMs: e.Time().UnixMilli(),
			Who:        e.Who(),
			What:       e.What(),
			Subject:    e.Subject(),
			Why:        e.Why(),
			Before:     e.Before(),
			After:      e.After(),
		})
	}
	return reply, nil
}

// StopAnnounce announces a planned stop.
func (s *Server) StopAnnounce(ctx context.Context, m *rpc.StopAnnounceRequest) (*rpc.StopAnnounceReply, error) {
	if m.Id == "" || m.Who == "" {
		return nil, twirp.InvalidArgument.Error("a stop needs an id and the operator's name")
	}
	if (m.Vm == "") == (m.Group == "") {
		return nil, twirp.InvalidArgument.Error("a stop is of a VM or of a group")
	}
	if !s.opts.Exists(m.Vm, m.Group) {
		return nil, twirp.NotFound.Error(fmt.Sprintf("no VM or group named %q", m.Vm+m.Group))
	}
	if err := s.opts.Announcer.Announce(ctx, stops.NewStop(m.Id, m.Who, m.Why, m.Vm, m.Group, s.opts.Now())); err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	s.opts.OnChange()
	return &rpc.StopAnnounceReply{Id: m.Id}, nil
}

// StopCancel cancels an announced stop.
func (s *Server) StopCancel(ctx context.Context, m *rpc.StopCancelRequest) (*rpc.StopCancelReply, error) {
	err := s.opts.Announcer.Cancel(ctx, m.Id, m.Who)
	var missing *stops.NotFoundError
	if errors.As(err, &missing) {
		return nil, twirp.NotFound.Error(err.Error())
	}
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	s.opts.OnChange()
	return &rpc.StopCancelReply{}, nil
}

// StopList returns the announced stops.
func (s *Server) StopList(context.Context, *rpc.StopListRequest) (*rpc.StopListReply, error) {
	reply := &rpc.StopListReply{}
	for _, stop := range s.opts.Stops() {
		reply.Stops = append(reply.Stops, &rpc.Stop{
			Id:         stop.ID(),
			Who:        stop.Who(),
			Why:        stop.Why(),
			Vm:         stop.VM(),
			Group:      stop.Group(),
			TimeUnixMs: stop.Time().UnixMilli(),
		})
	}
	return reply, nil
}

// Status returns this daemon's status.
func (s *Server) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusReply, error) {
	return s.opts.Status(), nil
}

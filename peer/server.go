package peer

import (
	"context"
	"time"

	"github.com/pointpass/pointpass/claims"
	"github.com/pointpass/pointpass/groups"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/tree"
)

// Owner answers for the slots of keys that this daemon owns.
type Owner interface {
	Claim(req claims.Request) claims.Result
	Settle(customer, key, attempt string, s claims.Settlement, answer *claims.Answer) bool
	Stage(t claims.Transfer)
}

// Server answers other daemons. It implements rpc.Peer.
type Server struct {
	owner   Owner
	reports func() []groups.Report
	stopped func(group string)
	tree    func() *tree.Tree
	now     func() time.Time
}

// NewServer returns a server. Reports returns what this daemon watches, and
// stopped takes in that a group is over.
func NewServer(owner Owner, reports func() []groups.Report, stopped func(group string), current func() *tree.Tree, now func() time.Time) *Server {
	return &Server{owner: owner, reports: reports, stopped: stopped, tree: current, now: now}
}

// Claim decides on a key.
func (s *Server) Claim(_ context.Context, m *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	result := s.owner.Claim(claimFromMessage(m))
	return &rpc.ClaimReply{State: rpc.ClaimState(result.State()), Answer: answerMessage(result.Answer())}, nil
}

// Settle ends an attempt.
func (s *Server) Settle(_ context.Context, m *rpc.SettleRequest) (*rpc.SettleReply, error) {
	accepted := s.owner.Settle(m.Customer, m.Key, m.Attempt, claims.Settlement(m.Settlement), answerFromMessage(m.Answer))
	return &rpc.SettleReply{Accepted: accepted}, nil
}

// Transfer keeps the claims of a slot that will be ours.
func (s *Server) Transfer(_ context.Context, m *rpc.TransferRequest) (*rpc.TransferReply, error) {
	s.owner.Stage(transferFromMessage(m))
	return &rpc.TransferReply{}, nil
}

// Presence returns this daemon's reports, with the age of their evidence in
// place of a time, since clocks differ.
func (s *Server) Presence(context.Context, *rpc.PresenceRequest) (*rpc.PresenceReply, error) {
	reply := &rpc.PresenceReply{}
	for _, r := range s.reports() {
		present := r.Present()
		reply.Domains = append(reply.Domains, &rpc.DomainPresence{
			Domain:        r.Domain(),
			DutyEpoch:     r.DutyEpoch(),
			EvidenceAgeMs: ceilMilliseconds(s.now().Sub(present.Evidence)),
			Present:       present.Epochs,
			Plain:         present.Plain,
		})
	}
	return reply, nil
}

// ceilMilliseconds rounds up, so that evidence never looks younger than it is.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Announce takes in that groups are over.
func (s *Server) Announce(_ context.Context, m *rpc.AnnounceRequest) (*rpc.AnnounceReply, error) {
	for _, g := range m.Stopped {
		s.stopped(g.Group)
	}
	return &rpc.AnnounceReply{}, nil
}

// Settings returns the tree if it is newer than the asker's.
func (s *Server) Settings(_ context.Context, m *rpc.SettingsRequest) (*rpc.SettingsReply, error) {
	t := s.tree()
	if t == nil || t.Revision() <= m.AfterRevision {
		return &rpc.SettingsReply{}, nil
	}
	reply := &rpc.SettingsReply{Revision: t.Revision()}
	for _, n := range t.Export() {
		reply.Nodes = append(reply.Nodes, &rpc.SettingsNode{Path: string(n.Path()), FieldsJson: n.Fields()})
	}
	return reply, nil
}

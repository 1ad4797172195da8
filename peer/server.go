package peer

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pointpass/pointpass/claims"
	"github.com/pointpass/pointpass/groups"
	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/tree"
)

// Owner handles the claims of the slots that this daemon owns.
type Owner interface {
	Claim(req claims.Request) claims.Result
	Settle(customer, key, attempt string, s claims.Settlement, answer *claims.Answer) bool
	AcceptTransfer(t claims.Transfer) bool
}

// Server serves calls of other daemons. It implements rpc.Peer.
type Server struct {
	owner     Owner
	reports   func() []groups.Report
	onStopped func(group string)
	tree      func() *tree.Tree
	now       func() time.Time
}

// NewServer returns a server. The function reports returns the reports of the
// domains that this daemon watches; onStopped is called for each group that a peer
// announces as stopped.
func NewServer(owner Owner, reports func() []groups.Report, onStopped func(group string), current func() *tree.Tree, now func() time.Time) *Server {
	return &Server{owner: owner, reports: reports, onStopped: onStopped, tree: current, now: now}
}

// Claim returns the owner's decision on a key.
func (s *Server) Claim(_ context.Context, m *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	result := s.owner.Claim(claimFromMessage(m))
	return &rpc.ClaimReply{State: rpc.ClaimState(result.State()), Answer: answerMessage(result.Answer())}, nil
}

// Settle records the outcome of an attempt.
func (s *Server) Settle(_ context.Context, m *rpc.SettleRequest) (*rpc.SettleReply, error) {
	accepted := s.owner.Settle(m.Customer, m.Key, m.Attempt, claims.Settlement(m.Settlement), answerFromMessage(m.Answer))
	return &rpc.SettleReply{Accepted: accepted}, nil
}

// Transfer stores the claims of a slot that this daemon will own, unless it stops itself.
func (s *Server) Transfer(_ context.Context, m *rpc.TransferRequest) (*rpc.TransferReply, error) {
	if !s.owner.AcceptTransfer(transferFromMessage(m)) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this daemon is stopping")
	}
	return &rpc.TransferReply{}, nil
}

// Presence returns this daemon's reports. They carry the age of their evidence
// instead of a time, since clocks differ between daemons.
func (s *Server) Presence(context.Context, *rpc.PresenceRequest) (*rpc.PresenceReply, error) {
	reply := &rpc.PresenceReply{}
	for _, r := range s.reports() {
		present := r.Presence()
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

// ceilMilliseconds rounds up, so that evidence never appears newer than it is.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Announce receives the announcement that groups have stopped.
func (s *Server) Announce(_ context.Context, m *rpc.AnnounceRequest) (*rpc.AnnounceReply, error) {
	for _, g := range m.Stopped {
		s.onStopped(g.Group)
	}
	return &rpc.AnnounceReply{}, nil
}

// Settings returns the tree if it is newer than the client's.
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

package peer

import (
	"fmt"
	"time"

	"github.com/pointpass/pointpass/claims"
	"github.com/pointpass/pointpass/common/units"
	"github.com/pointpass/pointpass/rpc"
)

// The states of claims must have the same numbers in packages claims and rpc, since
// they are converted by number.

func claimRequest(req claims.Request) *rpc.ClaimRequest {
	return &rpc.ClaimRequest{
		Customer:    req.Customer(),
		Key:         req.Key(),
		Fingerprint: req.Fingerprint(),
		Attempt:     req.Attempt(),
		HoldMs:      req.SettleTimeout().Milliseconds(),
	}
}

func claimFromMessage(m *rpc.ClaimRequest) claims.Request {
	hold := units.Millis(m.HoldMs)
	return claims.NewRequest(m.Customer, m.Key, m.Fingerprint, m.Attempt, hold)
}

func claimResult(m *rpc.ClaimReply) (claims.Result, error) {
	if _, known := rpc.ClaimState_name[int32(m.State)]; !known || m.State == rpc.ClaimState_CLAIM_STATE_UNSPECIFIED {
		return claims.Result{}, fmt.Errorf("unknown state of a claim: %d", m.State)
	}
	return claims.NewResult(claims.State(m.State), answerFromMessage(m.Answer)), nil
}

func answerMessage(a *claims.Answer) *rpc.Answer {
	if a == nil {
		return nil
	}
	return &rpc.Answer{Status: int32(a.Status()), ContentType: a.ContentType(), Body: a.Body()}
}

func answerFromMessage(m *rpc.Answer) *claims.Answer {
	if m == nil {
		return nil
	}
	return claims.NewAnswer(int(m.Status), m.ContentType, m.Body)
}

func transferMessage(t claims.Transfer) *rpc.TransferRequest {
	m := &rpc.TransferRequest{Slot: int32(t.Slot()), Epoch: t.Epoch(), SinceUnixMs: t.Since().UnixMilli()}
	for _, r := range t.Records() {
		req := r.Request()
		m.Claims = append(m.Claims, &rpc.TransferredClaim{
			Customer:        req.Customer(),
			Key:             req.Key(),
			Fingerprint:     req.Fingerprint(),
			Attempt:         req.Attempt(),
			State:           rpc.ClaimState(r.State()),
			Answer:          answerMessage(r.Answer()),
			GrantedUnixMs:   r.Granted().UnixMilli(),
			HoldUntilUnixMs: r.SettleDeadline().UnixMilli(),
		})
	}
	return m
}

func transferFromMessage(m *rpc.TransferRequest) claims.Transfer {
	var records []claims.Record
	for _, c := range m.Claims {
		req := claims.NewRequest(c.Customer, c.Key, c.Fingerprint, c.Attempt, 0)
		granted, holdUntil := time.UnixMilli(c.GrantedUnixMs), time.UnixMilli(c.HoldUntilUnixMs)
		records = append(records, claims.NewRecord(req, claims.State(c.State), answerFromMessage(c.Answer), granted, holdUntil))
	}
	return claims.NewTransfer(int(m.Slot), m.Epoch, time.UnixMilli(m.SinceUnixMs), records)
}

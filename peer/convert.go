package peer

import (
	"fmt"
	"time"

	"github.com/pointpass/pointpass/claims"
	"github.com/pointpass/pointpass/rpc"
)

// The states of claims have the same numbers in both packages; a test holds
// them together.

func claimRequest(req claims.Request) *rpc.ClaimRequest {
	return &rpc.ClaimRequest{
		Customer:    req.Customer(),
		Key:         req.Key(),
		Fingerprint: req.Fingerprint(),
		Attempt:     req.Attempt(),
		HoldMs:      req.Hold().Milliseconds(),
	}
}

func claimFromMessage(m *rpc.ClaimRequest) claims.Request {
	hold := time.Duration(m.HoldMs) * time.Millisecond
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

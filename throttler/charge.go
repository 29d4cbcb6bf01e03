package throttler

import (
	"context"
	"time"

	"lagoonstile"
	"lagoonstile/answerer"
)

// Charge draws the credit for a request from the quota of its account. It returns a
// failure if there is none. A request without an account, or whose account has no quota,
// needs no credit, nor does any if quotas is nil.
func Charge(ctx context.Context, quotas Quotas, account *lagoonstile.Account, until time.Time) (Credit, *answerer.Failure) {
	if !isCharged(quotas, account) {
		return Credit{}, nil
	}
	credit, refusal := quotas.Draw(ctx, account, until)
	switch {
	case refusal == nil:
		return credit, nil
	case ctx.Err() != nil:
		return Credit{}, &answerer.Failure{Kind: answerer.KindOverloaded, Cause: ctx.Err()}
	}
	return Credit{}, &answerer.Failure{Kind: answerer.KindOverQuota, RetryAfter: refusal.RetryAfter, Cause: refusal}
}

// Refund gives back the credit of a request that failed, unless it may have run.
func Refund(quotas Quotas, account *lagoonstile.Account, credit Credit, failure *answerer.Failure) {
	if isCharged(quotas, account) && failure.Outcome() == answerer.OutcomeNotRun {
		quotas.Return(account, credit)
	}
}

func isCharged(quotas Quotas, account *lagoonstile.Account) bool {
	return quotas != nil && account != nil && account.Quota.Limited()
}

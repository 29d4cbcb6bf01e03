package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lagoonstile"
	"lagoonstile/answerer"
	"lagoonstile/exchanger"
	"lagoonstile/router"
	"lagoonstile/throttler"
)

// What a request's client account decides: whether it may run, and its priority.

var (
	errNoKey      = errors.New("request has no key, or several")
	errUnknownKey = errors.New("no account has the key")
)

// maxWaitOfObjective is the share of a route's objective for which a request may wait for
// credit, so that it can still be answered on time.
const maxWaitOfObjective = 0.4

// authenticate returns the client account of a request, or nil if it needs none. It
// removes the key and the account's header from the request, so that no server gets the
// key or an account that the client chose.
func (r *Relayer) authenticate(httpReq *http.Request, table *router.PlanTable, route *lagoonstile.PlannedRoute) (*lagoonstile.Account, *answerer.Failure) {
	accounts := table.Accounts()
	if !accounts.Required() {
		return nil, nil
	}
	keys := httpReq.Header.Values(r.Headers.Key)
	account := accounts.Lookup(keys)
	httpReq.Header.Del(r.Headers.Key)
	httpReq.Header.Del(r.Headers.Account)
	switch {
	case account != nil, route.Public:
	case len(keys) == 1 && keys[0] != "":
		return nil, &answerer.Failure{Kind: answerer.KindUnknownKey, Cause: errUnknownKey}
	default:
		return nil, &answerer.Failure{Kind: answerer.KindUnknownKey, Cause: errNoKey}
	}
	return account, nil
}

// forwardedHeader returns the headers of a request that servers get, with the account's
// header. It is set last, since a client can declare any header as one of its connection.
func (r *Relayer) forwardedHeader(httpReq *http.Request, account *lagoonstile.Account) http.Header {
	header := exchanger.EndToEnd(httpReq.Header)
	if account != nil {
		header.Set(r.Headers.Account, string(account.ID))
	}
	return header
}

// drawQuota draws the credit for a request from the quota of its account. It returns a
// failure if there is none.
func (r *Relayer) drawQuota(ctx context.Context, req *request) *answerer.Failure {
	wait := time.Duration(maxWaitOfObjective * float64(req.route.Objective))
	var failure *answerer.Failure
	req.credit, failure = throttler.Charge(ctx, r.Quotas, req.account, req.arrived.Add(wait))
	return failure
}

// accountID returns the ID of the request's account, or "" if it has none.
func (req *request) accountID() lagoonstile.CallerID {
	if req.account == nil {
		return ""
	}
	return req.account.ID
}

// priorityOf returns the priority of a request on a route.
func priorityOf(route *lagoonstile.PlannedRoute, account *lagoonstile.Account) int {
	if account != nil && account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}

package quota

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// prefetchTime is the demand for which credit is requested in advance.
	prefetchTime = 100 * time.Millisecond
	// accountTime is the time after its last call for which an account is kept.
	accountTime = time.Minute
	// costShare is the weight of a call in the moving average of costs.
	costShare = 0.1
	// minPrefetch is the number of calls for which credit is requested in advance at least.
	// With fewer, much of it would expire between the calls.
	minPrefetch = 2
	// rounding is the credit in units that a call may lack: sums of floating-point numbers
	// differ by their order, and a request for so little would not end.
	rounding = 1e-6
	// retrySpread is the largest random part of a retry time, relative to it.
	retrySpread = 0.5
)

// Wallet holds the credit of one instance.
type Wallet struct{ accounts map[string]*account }

type account struct {
	credit lots
	demand demand
	// cost is the moving average of the costs of calls.
	cost float64
	// denied is the least cost that was denied lately; calls that cost as much are denied
	// until deniedUntil.
	denied      float64
	deniedUntil time.Time
	lastCall    time.Time
}

// Spending is credit that was spent on one call.
type Spending struct {
	workspace string
	parts     []lot
}

// NewWallet returns an empty wallet.
func NewWallet() *Wallet { return &Wallet{accounts: map[string]*account{}} }

func (w *Wallet) account(workspace string) *account {
	a := w.accounts[workspace]
	if a == nil {
		a = &account{}
		w.accounts[workspace] = a
	}
	return a
}

// Record counts a call of a workspace towards its demand.
func (w *Wallet) Record(workspace string, cost float64, now time.Time) {
	a := w.account(workspace)
	a.demand.add(cost, now)
	if a.cost == 0 {
		a.cost = cost
	}
	a.cost += costShare * (cost - a.cost)
	a.lastCall = now
}

// Spend spends the cost of a call, or nothing if the credit does not suffice.
func (w *Wallet) Spend(workspace string, cost float64, now time.Time) (Spending, bool) {
	a := w.account(workspace)
	if a.credit.balance(now) < cost-rounding {
		return Spending{}, false
	}
	return Spending{workspace, a.credit.take(cost, now)}, true
}

// Refund returns the credit of a call that was not run, with its old expiry.
func (w *Wallet) Refund(s Spending) {
	a := w.account(s.workspace)
	for _, x := range s.parts {
		a.credit.add(x)
	}
}

// Add adds credit that was granted.
func (w *Wallet) Add(workspace string, amount float64, expires, now time.Time) {
	a := w.account(workspace)
	a.credit.balance(now)
	a.credit.add(lot{finite(amount), expires})
}

// Ask returns the credit to be requested for calls that wait. Their costs have a sum and a
// minimum. Credit for the demand of the next moments is added if it covers several calls.
func (w *Wallet) Ask(workspace string, sum, least float64, now time.Time) Need {
	a := w.account(workspace)
	balance := a.credit.balance(now)
	if ahead := a.demand.at(now) * prefetchTime.Seconds(); ahead >= minPrefetch*a.cost {
		sum += ahead
	}
	return Need{Workspace: workspace, Amount: max(sum-balance, 0), Minimum: max(least-balance, 0)}
}

// Deny records that a cost was denied until a retry time.
func (w *Wallet) Deny(workspace string, cost float64, retry time.Duration, now time.Time) {
	a := w.account(workspace)
	a.denied, a.deniedUntil = cost, now.Add(retry)
}

// Denied returns the time for which a cost is denied, 0 if it may be requested. A cost below
// the one that was denied may still be granted.
func (w *Wallet) Denied(workspace string, cost float64, now time.Time) time.Duration {
	a := w.account(workspace)
	if cost < a.denied {
		return 0
	}
	return max(a.deniedUntil.Sub(now), 0)
}

// Expire removes the workspaces without recent calls.
func (w *Wallet) Expire(now time.Time) {
	maps.DeleteFunc(w.accounts, func(_ string, a *account) bool { return now.Sub(a.lastCall) > accountTime })
}

// Spread adds a random part to a retry time, so that callers do not return together.
func Spread(retry time.Duration) time.Duration {
	return retry + rand.N(time.Duration(float64(retry)*retrySpread)+1)
}

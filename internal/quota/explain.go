package quota

import "time"

// Peek returns the credit of a workspace and the time for which a cost is denied, 0 if it may be
// requested. It changes nothing.
func (w *Wallet) Peek(workspace string, cost float64, now time.Time) (credit float64, denied time.Duration) {
	a := w.accounts[workspace]
	if a == nil {
		return 0, 0
	}
	for _, x := range a.credit {
		if x.expires.After(now) {
			credit += x.amount
		}
	}
	return credit, w.Denied(workspace, cost, now)
}

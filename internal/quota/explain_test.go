package quota

import (
	"testing"
	"time"
)

// TestPeekChangesNothing guards against looks at a wallet that open accounts, spend credit or
// drop what has expired, and against credit that is stated after it expired.
func TestPeekChangesNothing(t *testing.T) {
	w, now := NewWallet(), time.Unix(1000, 0)
	if credit, denied := w.Peek("w", 5, now); credit != 0 || denied != 0 || len(w.accounts) != 0 {
		t.Errorf("unknown workspace: credit %v, denied for %v, %d accounts", credit, denied, len(w.accounts))
	}
	w.Add("w", 30, now.Add(100*time.Millisecond), now)
	w.Add("w", 20, now.Add(200*time.Millisecond), now)
	w.Deny("w", 40, 300*time.Millisecond, now)
	cases := map[string]struct {
		after        time.Duration
		cost, credit float64
		denied       time.Duration
	}{
		"at first":             {0, 40, 50, 300 * time.Millisecond},
		"less than was denied": {0, 39, 50, 0},
		"one lot has expired":  {150 * time.Millisecond, 40, 20, 150 * time.Millisecond},
		"all has expired":      {time.Second, 40, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if credit, denied := w.Peek("w", c.cost, now.Add(c.after)); credit != c.credit || denied != c.denied {
				t.Errorf("credit %v, denied for %v", credit, denied)
			}
			if lots := w.accounts["w"].credit; len(lots) != 2 || lots[0].amount+lots[1].amount != 50 {
				t.Errorf("credit is %v now", lots)
			}
		})
	}
}

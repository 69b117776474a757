// Package quota keeps the limits of workspaces over all instances together. Credit is
// created once, in the buckets of the holder of a zone, and then moved: to an instance, or
// through the holder of another zone. Credit that is lost in between stays lost, so that no
// failure adds any. The package is not safe for concurrent use and takes the time as an
// argument.
package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// CreditExpiry is the age, counted from the request for it, at which credit outside of
	// a bucket expires. Credit is outside for at most twice as long, at the holder of
	// another zone and at an instance. So instances spend at most what the buckets hold at
	// the beginning of a window and what they gain in the window and 0.5 s before; the limit
	// leaves 0.8 s (a tenth of the window of 8 s).
	CreditExpiry = 250 * time.Millisecond
	// demandTime is the time constant of the estimate of demand. It is shorter than the second
	// within which demand may move to another zone.
	demandTime = 500 * time.Millisecond
)

// lot is credit that expires.
type lot struct {
	amount  float64
	expires time.Time
}

// lots is the credit of a workspace outside of a bucket, the earliest to expire first.
type lots []lot

func (l *lots) add(x lot) {
	if x.amount <= 0 {
		return
	}
	n, _ := slices.BinarySearchFunc(*l, x, func(a, b lot) int { return a.expires.Compare(b.expires) })
	*l = slices.Insert(*l, n, x)
}

// balance drops what has expired and returns the rest.
func (l *lots) balance(now time.Time) float64 {
	first, sum := 0, 0.0
	for _, x := range *l {
		if !x.expires.After(now) {
			first++
			continue
		}
		sum += x.amount
	}
	*l = slices.Delete(*l, 0, first)
	return sum
}

// take removes up to an amount and returns the removed parts.
func (l *lots) take(amount float64, now time.Time) []lot {
	l.balance(now)
	var taken []lot
	for len(*l) > 0 && amount > 0 {
		first := &(*l)[0]
		if first.amount > amount {
			first.amount -= amount
			return append(taken, lot{amount, first.expires})
		}
		taken, amount = append(taken, *first), amount-first.amount
		*l = slices.Delete(*l, 0, 1)
	}
	return taken
}

// demand estimates how much credit is used up in a second.
type demand struct {
	perSecond float64
	updated   time.Time
}

func (d *demand) add(amount float64, now time.Time) {
	d.perSecond = d.at(now) + amount/demandTime.Seconds()
	d.updated = now
}

func (d *demand) at(now time.Time) float64 {
	if age := now.Sub(d.updated); age > 0 {
		return d.perSecond * math.Exp(-age.Seconds()/demandTime.Seconds())
	}
	return d.perSecond
}

// finite returns an amount of a message, or 0 if it is none.
func finite(amount float64) float64 {
	if math.IsNaN(amount) || math.IsInf(amount, 0) || amount < 0 {
		return 0
	}
	return amount
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

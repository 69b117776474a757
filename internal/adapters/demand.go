package adapters

import (
	"math"
	"time"

	"bamboorail.example/bamboorail"
)

// demand is an exponentially decaying count of the calls for an adapter.
type demand struct {
	count float64
	at    time.Time
}

func (p *Planner) recordDemand(key bamboorail.AdapterKey, now time.Time) {
	d := p.demand[key]
	if d == nil {
		d = &demand{}
		p.demand[key] = d
	}
	d.count, d.at = p.decayed(d, now)+1, now
}

func (p *Planner) demandOf(key bamboorail.AdapterKey, now time.Time) float64 {
	if d := p.demand[key]; d != nil {
		return p.decayed(d, now)
	}
	return 0
}

func (p *Planner) decayed(d *demand, now time.Time) float64 {
	return d.count * math.Exp2(-now.Sub(d.at).Seconds()/p.tuning.DemandHalfLife.Seconds())
}

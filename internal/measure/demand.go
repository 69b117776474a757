// Package measure is a discrete-event simulation that runs the scheduling code
// of the daemon in virtual time against simulated engines, and compares
// policies on the same workload. It does not model networks, processes, clock
// skew or instance failures.
package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"bamboorail.example/bamboorail"
)

// Site describes the installation of one user.
type Site struct {
	Name     string
	Engines  int
	Zones    int
	Slots    int
	MaxBatch int
	Adapters int
	// Skew is the exponent of the Zipf distribution of popularity.
	Skew float64
	// LoadsPerSecond is the rate of the weight store when loads run one at a time.
	LoadsPerSecond float64
	// Step is the time in which every running request generates one token.
	Step time.Duration
	// MeanTokens is the mean length of a response.
	MeanTokens int
	Callers    []CallerDemand
}

// CallerDemand describes the requests of one caller. Share is its fraction of
// all requests.
type CallerDemand struct {
	Name     string
	Share    float64
	Weight   int
	Priority bamboorail.Priority
	Deadline time.Duration
}

// Archive returns the site of the fan fiction archive.
func Archive() Site {
	return Site{
		Name: "archive", Engines: 12, Zones: 3, Slots: 8, MaxBatch: 16, Adapters: 3000, Skew: 1.4, LoadsPerSecond: 3,
		Step: 25 * time.Millisecond, MeanTokens: 300,
		Callers: []CallerDemand{
			{Name: "summaries", Share: 0.6, Weight: 1, Priority: bamboorail.PriorityInteractive, Deadline: time.Minute},
			{Name: "warnings", Share: 0.3, Weight: 1, Priority: bamboorail.PriorityInteractive, Deadline: time.Minute},
			{Name: "tags", Share: 0.1, Weight: 1, Priority: bamboorail.PriorityBatch, Deadline: 10 * time.Minute},
		},
	}
}

// Coupons returns the site of the coupon platform: three partners with unequal
// demand and equal weights, and merchants.
func Coupons() Site {
	return Site{
		Name: "coupons", Engines: 9, Zones: 3, Slots: 8, MaxBatch: 16, Adapters: 3000, Skew: 1.4, LoadsPerSecond: 2,
		Step: 25 * time.Millisecond, MeanTokens: 300,
		Callers: []CallerDemand{
			{Name: "partner-1", Share: 0.45, Weight: 3, Priority: bamboorail.PriorityBatch, Deadline: 10 * time.Minute},
			{Name: "partner-2", Share: 0.25, Weight: 3, Priority: bamboorail.PriorityBatch, Deadline: 10 * time.Minute},
			{Name: "partner-3", Share: 0.15, Weight: 3, Priority: bamboorail.PriorityBatch, Deadline: 10 * time.Minute},
			{Name: "merchants", Share: 0.15, Weight: 1, Priority: bamboorail.PriorityInteractive, Deadline: time.Minute},
		},
	}
}

// Capacity returns the requests per second that the engines complete with full
// batches.
func (s Site) Capacity() float64 {
	return float64(s.Engines*s.MaxBatch) / (float64(s.MeanTokens) * s.Step.Seconds())
}

// Scenario describes the load level and the events of one simulation.
type Scenario struct {
	Name string
	// Demand is relative to the capacity of the engines.
	Demand float64
	// ShiftAt is the time at which the popularity of the adapters changes,
	// RestartAt the time at which a third of the engines restarts; zero means
	// never.
	ShiftAt, RestartAt time.Duration
	// FailOneIn makes each load fail with probability 1/FailOneIn; 0 means none.
	FailOneIn int
	// StoreRate scales the rate of the weight store.
	StoreRate float64
}

// Measurements start at Warmup and end at Duration, both from the start of a
// run.
const (
	Warmup   = 120 * time.Second
	Duration = 420 * time.Second
	// EventAt is the time of a popularity shift or an engine restart.
	EventAt = 240 * time.Second
)

// Scenarios returns the scenarios in which every policy is measured.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady 60 %", Demand: 0.6, StoreRate: 1},
		{Name: "steady 90 %", Demand: 0.9, StoreRate: 1},
		{Name: "steady 130 %", Demand: 1.3, StoreRate: 1},
		{Name: "shift 90 %", Demand: 0.9, StoreRate: 1, ShiftAt: EventAt},
		{Name: "restart 90 %", Demand: 0.9, StoreRate: 1, RestartAt: EventAt},
		{Name: "load failures 90 %", Demand: 0.9, StoreRate: 1, FailOneIn: 5},
		{Name: "slow store 90 %", Demand: 0.9, StoreRate: 1.0 / 3},
	}
}

// Arrival is one request of the workload.
type Arrival struct {
	At     time.Duration
	Model  bamboorail.ModelRef
	Caller int
	Tokens int
	Zone   int
}

// Demand returns the arrivals of a scenario. It is deterministic for a given
// seed.
func Demand(s Site, sc Scenario, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	zipf := newZipf(s.Adapters, s.Skew)
	before, after := r.Perm(s.Adapters), r.Perm(s.Adapters)
	rate := s.Capacity() * sc.Demand
	var list []Arrival
	for at := time.Duration(0); at < Duration; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		names := before
		if sc.ShiftAt > 0 && at >= sc.ShiftAt {
			names = after
		}
		adapter := names[zipf.draw(r)]
		list = append(list, Arrival{
			At: at, Model: bamboorail.NewModelRef(fmt.Sprintf("a%04d", adapter), "v1"), Caller: s.drawCaller(r),
			Tokens: drawTokens(r, s.MeanTokens), Zone: r.IntN(s.Zones),
		})
	}
	return list
}

func (s Site) drawCaller(r *rand.Rand) int {
	x := r.Float64()
	for n, c := range s.Callers {
		if x -= c.Share; x < 0 {
			return n
		}
	}
	return len(s.Callers) - 1
}

// drawTokens draws the length of a response from an exponential distribution,
// clamped to between a quarter of the mean and four times the mean.
func drawTokens(r *rand.Rand, mean int) int {
	n := int(r.ExpFloat64() * float64(mean))
	return max(mean/4, min(n, 4*mean))
}

// zipf draws ranks from a truncated Zipf distribution with an arbitrary
// exponent.
type zipf struct{ cumulative []float64 }

func newZipf(n int, skew float64) *zipf {
	z := &zipf{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -skew)
		z.cumulative[i] = sum
	}
	return z
}

func (z *zipf) draw(r *rand.Rand) int {
	x := r.Float64() * z.cumulative[len(z.cumulative)-1]
	return sort.SearchFloat64s(z.cumulative, x)
}

package placer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const (
	// quotaWindow and quotaSlack are those of the limit in docs/SHARED-LOAD.md.
	quotaWindow = 8 * time.Second
	quotaSlack  = 11_000
	// creditSimWait is an eighth of an objective of 800 ms.
	creditSimWait = 100 * time.Millisecond
	// creditSimWarmUp is the time in which the buckets fill before the load.
	creditSimWarmUp = 2 * time.Second
	// creditBin is the resolution with which spending is checked.
	creditBin = 100 * time.Millisecond
)

// creditCaller is a workspace with the load of its callers.
type creditCaller struct {
	bamboorail.Workspace
	// cost is the mean cost of a call; costs vary by half of it. load is the demand as a
	// part of the rate.
	cost, load float64
	// loadAt replaces load if it is set.
	loadAt func(at time.Duration) float64
	// instance picks the instance of a call.
	instance func(at time.Duration, random *rand.Rand) int
}

// creditSpent is what a workspace was offered and spent, by bins of time.
type creditSpent struct {
	offered, spent, ideal []float64
	refusedLate           int
	// bucket is an ideal bucket of the whole limit.
	bucket float64
	at     time.Duration
}

// creditSim is a set of instances that keep quotas together in virtual time.
type creditSim struct {
	t         *testing.T
	store     *memory.Store
	start     time.Time
	instances []*creditInstance
	table     atomic.Pointer[route.Table]
	random    *rand.Rand
	latency   time.Duration
	// cut reports whether messages between two instances are lost.
	cut func(at time.Duration, from, to *creditInstance) bool
	// storeDown is set while the store does not answer.
	storeDown func(at time.Duration, i *creditInstance) bool

	messages, bytes atomic.Int64

	mu    sync.Mutex
	spent map[string]*creditSpent
}

type creditInstance struct {
	sim    *creditSim
	name   string
	zone   string
	zones  []ZoneHolder
	credit *Credit
	server *Server
	cancel context.CancelFunc
	tasks  []*task.Task
	ended  atomic.Bool
}

func (i *creditInstance) Credit(ctx context.Context, address string, r *wire.CreditRequest) (*wire.CreditReply, error) {
	s := i.sim
	if err := task.Sleep(ctx, s.latency); err != nil {
		return nil, err
	}
	for _, o := range s.instances {
		if o.name != address || o.ended.Load() {
			continue
		}
		if s.cut != nil && s.cut(time.Since(s.start), i, o) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		reply, err := o.server.Credit(ctx, r)
		s.messages.Add(1)
		s.bytes.Add(int64(proto.Size(r) + proto.Size(reply)))
		if err := task.Sleep(ctx, s.latency); err != nil {
			return nil, err
		}
		return reply, err
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func newCreditSim(t *testing.T, instances int, callers []creditCaller, seed uint64) *creditSim {
	t.Helper()
	s := &creditSim{
		t: t, store: memory.NewStore(), start: time.Now(), random: rand.New(rand.NewPCG(seed, 0)), latency: simLatency, spent: map[string]*creditSpent{},
	}
	s.configure(callers)
	for n := range instances {
		s.instances = append(s.instances, s.newInstance(fmt.Sprintf("i%d", n), n%len(brittleZones)))
	}
	return s
}

func (s *creditSim) configure(callers []creditCaller) {
	c := bamboorail.Configuration{HasWorkspaces: true}
	for _, w := range callers {
		c.Workspaces = append(c.Workspaces, w.Workspace)
	}
	s.table.Store(route.NewTable(c))
}

func (s *creditSim) newInstance(name string, zone int) *creditInstance {
	i := &creditInstance{sim: s, name: name, zone: brittleZones[zone]}
	clock := func() time.Duration { return time.Second + time.Since(s.start) }
	for n := range brittleZones {
		z := brittleZones[(zone+n)%len(brittleZones)]
		i.zones = append(i.zones, ZoneHolder{Zone: z, Lease: lease.New(lease.Config{
			Key: "leases/" + z, Holder: name, Address: name, Store: s.store, Clock: clock, Log: hclog.NewNullLogger(),
			Timing: lease.Timing{RenewInterval: time.Second, Term: 3 * time.Second, Gap: 3 * time.Second},
		})})
	}
	i.credit = NewCredit(CreditConfig{
		Instance: name, Zones: i.zones, Peers: i, Table: s.table.Load, Instances: func() int { return len(s.instances) },
		ZoneSize: i.zoneSize, Metrics: telemetry.NewMetrics(), Log: hclog.NewNullLogger(),
	})
	i.server = &Server{}
	i.server.SetCredit(i.credit)
	return i
}

// zoneSize returns the number of the instances of the zone that take this one for the holder.
func (i *creditInstance) zoneSize() int {
	n := 0
	for _, o := range i.sim.instances {
		if o.zone != i.zone || o.ended.Load() || (i.sim.cut != nil && i.sim.cut(time.Since(i.sim.start), o, i)) {
			continue
		}
		if name, _ := o.zones[0].Lease.Holder(); name == i.name {
			n++
		}
	}
	return n
}

// run starts the instance. The first instance of a zone claims its lease, and the second one
// when it may.
func (i *creditInstance) run(ctx context.Context, rank int) {
	ctx, i.cancel = context.WithCancel(ctx)
	i.tasks = append(i.tasks, task.Start(ctx, "credit", i.credit.Run), task.Start(ctx, "leases", func(ctx context.Context) error {
		return task.Every(ctx, 700*time.Millisecond, func(ctx context.Context) {
			if down := i.sim.storeDown; down != nil && down(time.Since(i.sim.start), i) {
				return
			}
			for n, z := range i.zones {
				if z.Lease.Leading() {
					_ = z.Lease.Renew(ctx)
				}
				if o, err := i.sim.store.Get(ctx, "leases/"+z.Zone); err == nil {
					z.Lease.Observe(o)
				}
				if n == 0 && rank == 1 && !z.Lease.Leading() && z.Lease.Claimable() {
					_ = z.Lease.Claim(ctx)
				}
			}
		})
	}))
	if rank == 0 {
		if err := i.zones[0].Lease.Claim(ctx); err != nil {
			i.sim.t.Error(err)
		}
	}
}

func (i *creditInstance) end() {
	i.ended.Store(true)
	i.cancel()
}

// serve runs all instances and calls for a while, and waits until they have ended.
func (s *creditSim) serve(callers []creditCaller, d time.Duration, events map[time.Duration]func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for n, i := range s.instances {
		i.run(ctx, n/len(brittleZones))
	}
	time.Sleep(creditSimWarmUp)
	var calls, loads sync.WaitGroup
	begin := time.Now()
	for at, f := range events {
		loads.Go(func() { time.Sleep(at); f() })
	}
	for _, w := range callers {
		s.spent[w.Name] = &creditSpent{bucket: w.Quota.Burst}
	}
	for _, w := range callers {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
		loads.Go(func() {
			for {
				load := w.load
				if w.loadAt != nil {
					load = w.loadAt(time.Since(begin))
				}
				perSecond := load * w.Quota.Rate / w.cost
				time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
				at := time.Since(begin)
				if at >= d {
					return
				}
				n := random.IntN(len(s.instances))
				if w.instance != nil {
					n = w.instance(at, random)
				}
				cost := w.cost * (0.5 + random.Float64())
				s.offer(w.Workspace, at, cost)
				calls.Go(func() { s.call(ctx, s.instances[n], w.Workspace, cost, begin) })
			}
		})
	}
	loads.Wait()
	calls.Wait()
	cancel()
	for _, i := range s.instances {
		for _, x := range i.tasks {
			x.Join()
		}
	}
}

func addTo(bins *[]float64, at time.Duration, amount float64) {
	n := int(at / creditBin)
	for len(*bins) <= n {
		*bins = append(*bins, 0)
	}
	(*bins)[n] += amount
}

// offer counts a call, and what an ideal bucket of the whole limit would serve.
func (s *creditSim) offer(w bamboorail.Workspace, at time.Duration, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.spent[w.Name]
	addTo(&x.offered, at, cost)
	x.bucket = min(x.bucket+w.Quota.Rate*(at-x.at).Seconds(), w.Quota.Burst)
	x.at = at
	if x.bucket >= cost {
		x.bucket -= cost
		addTo(&x.ideal, at, cost)
	}
}

func (s *creditSim) call(ctx context.Context, i *creditInstance, w bamboorail.Workspace, cost float64, begin time.Time) {
	if i.ended.Load() {
		return
	}
	known, _ := s.table.Load().Workspace(w.Name)
	sent := time.Now()
	_, err := i.credit.Admit(ctx, known, cost, creditSimWait)
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.spent[w.Name]
	if err == nil {
		addTo(&x.spent, time.Since(begin), cost)
	}
	if time.Since(sent) > creditSimWait {
		x.refusedLate++
	}
	if f := bamboorail.FailureOf(err); err != nil && (f.Kind != bamboorail.KindQuotaExceeded || f.RetryAfter <= 0 || f.Outcome != bamboorail.OutcomeNotRun) {
		s.t.Errorf("refused with %v, retry after %v", err, f.RetryAfter)
	}
}

func sum(bins []float64, from, to time.Duration) float64 {
	total := 0.0
	for n := int(from / creditBin); n < min(len(bins), int(to/creditBin)); n++ {
		total += bins[n]
	}
	return total
}

// served returns the part of the offered cost that was spent between two times, and that of an
// ideal bucket.
func (s *creditSim) served(name string, from, to time.Duration) (part, ideal float64) {
	x := s.spent[name]
	offered := sum(x.offered, from, to)
	return sum(x.spent, from, to) / offered, sum(x.ideal, from, to) / offered
}

// worst returns the largest spending in a window, as a part of the limit.
func (s *creditSim) worst(w bamboorail.Workspace, from time.Duration) float64 {
	x, worst := s.spent[w.Name], 0.0
	for at := from; at < time.Duration(len(x.spent))*creditBin; at += creditBin {
		worst = max(worst, sum(x.spent, at, at+quotaWindow))
	}
	return worst / ((w.Quota.Rate*quotaWindow.Seconds()+w.Quota.Burst)*1.1 + quotaSlack)
}

func tokensOf(name string, rate float64) bamboorail.Workspace {
	return bamboorail.Workspace{Name: name, Quota: bamboorail.Quota{Unit: bamboorail.QuotaTokens, Rate: rate, Burst: rate}}
}

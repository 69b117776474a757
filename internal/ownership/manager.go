package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	planInterval = 500 * time.Millisecond
	// ledgerPollInterval is the polling interval that finds changes whose watch
	// event was lost.
	ledgerPollInterval = 5 * time.Second
	// moveInterval is the minimum interval between moves for balance.
	moveInterval = 10 * time.Second
	// drainPollInterval is the interval between checks for running requests
	// during shutdown.
	drainPollInterval = 50 * time.Millisecond
	// movedRetryAfter is the retry delay suggested to callers that reached a
	// former owner.
	movedRetryAfter = time.Second
)

// Owner serves one target for one term.
type Owner interface {
	bamboorail.Dispatcher
	// Run runs the tasks of the owner until ctx is done.
	Run(ctx context.Context) error
	// Close refuses new and waiting requests. Running requests continue.
	Close(err error)
	// Running returns the number of running requests.
	Running() int
	// Settled reports whether no unload order is in flight, Drained whether no
	// request of this owner is, or may be, running.
	Settled() bool
	Drained() bool
	// EarlierCleared reports whether nothing is left on the target of owners
	// that are gone.
	EarlierCleared() bool
	// SetTermHistory replaces the term history.
	SetTermHistory(history placement.TermHistory)
	// State returns the state of the target to announce to peers.
	State() *wire.TargetState
	// Preload requests the load of a model.
	Preload(m bamboorail.ModelRef) error
}

// Factory creates the owners of targets.
type Factory interface {
	// Targets returns the names of the targets to own in the zone of this
	// instance.
	Targets() []string
	// New returns the owner of a target for a term.
	New(target string, history placement.TermHistory, began time.Time) (Owner, error)
}

// runningOwner is an owner whose Run method is running.
type runningOwner struct {
	owner   Owner
	history placement.TermHistory
	cancel  context.CancelFunc
	task    *task.Task
}

// Config configures a Manager.
type Config struct {
	Store     bamboorail.ObjectStore
	Directory *membership.Directory
	Factory   Factory
	// OnChange is called after the set of owned targets changed.
	OnChange func()
	Log      hclog.Logger
}

// Manager claims, runs and hands over the targets of one instance.
type Manager struct {
	config       Config
	planRequests chan struct{}

	mu sync.Mutex
	// current holds the owners of current terms by target, draining the owners
	// of ended terms that may have running requests.
	current  map[string]*runningOwner
	draining map[string][]*runningOwner
	ledger   platform.Ledger
	version  bamboorail.StoreVersion
	// closed holds, by target, the own terms whose owners were closed. Such a
	// term is never resumed.
	closed map[string]uint64
	// dirty is set while ledger contains claims that are not in the store.
	dirty    bool
	lastRead time.Time
	lastMove time.Time
	leaving  bool
	// leaveSeen is set after a step that started when this instance was already
	// leaving. No claim is in progress from then on.
	leaveSeen bool
	// synced is set once the ledger has been read from the store or received
	// from a peer.
	synced bool
}

// NewManager returns a manager that owns no targets.
func NewManager(c Config) *Manager {
	return &Manager{
		config:       c,
		planRequests: make(chan struct{}, 1),
		current:      map[string]*runningOwner{},
		draining:     map[string][]*runningOwner{},
		closed:       map[string]uint64{},
		ledger:       platform.NewLedger(),
	}
}

// TriggerPlan requests an immediate plan.
func (m *Manager) TriggerPlan() {
	select {
	case m.planRequests <- struct{}{}:
	default:
	}
}

// Run plans and reconciles until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	t := time.NewTicker(planInterval)
	defer t.Stop()
	defer m.stopAll()
	for {
		m.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-m.planRequests:
		}
	}
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.current {
		o.stop()
	}
	for _, list := range m.draining {
		for _, o := range list {
			o.stop()
		}
	}
}

func (o *runningOwner) stop() {
	o.cancel()
	o.task.Join()
}

// step updates the ledger and the owners once.
func (m *Manager) step(ctx context.Context) {
	defer m.recordStep(m.isLeaving())
	now := time.Now()
	if now.Sub(m.lastRead) >= ledgerPollInterval || !m.Synced() {
		m.refresh(ctx, now)
	}
	if !m.Synced() {
		return
	}
	m.recordHolders(now)
	m.planOnce(ctx, now)
	if m.reconcile(ctx) {
		m.config.OnChange()
	}
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

func (m *Manager) recordStep(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaveSeen = leaving
}

// recordHolders passes the sessions in the ledger to the directory, so that the
// liveness of unknown sessions is checked.
func (m *Manager) recordHolders(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.config.Directory.Self()
	for _, o := range m.ledger.Targets {
		for _, h := range append(slices.Clone(o.Earlier), o.Current) {
			if h.Session != "" && h.Peer != "" {
				s := platform.Session{ID: h.Session, Instance: h.Instance, Zone: self.Zone, Region: self.Region, Peer: h.Peer}
				m.config.Directory.RecordLedgerHolder(s, now)
			}
		}
	}
}

// ApplyEvent applies a watch event of the ledger.
func (m *Manager) ApplyEvent(o bamboorail.Object) {
	if o.Key != platform.LedgerKey(m.zone()) || o.Deleted {
		return
	}
	l, err := platform.ParseLedger(o.Value)
	if err != nil {
		m.config.Log.Error("cannot parse ledger", "error", err)
		return
	}
	m.applyLedger(l, o.Version)
	m.TriggerPlan()
}

func (m *Manager) zone() string { return m.config.Directory.Self().Zone }

// refresh reads the ledger if it has changed.
func (m *Manager) refresh(ctx context.Context, now time.Time) {
	m.mu.Lock()
	version := m.version
	m.mu.Unlock()
	o, newer, err := m.config.Store.GetNewer(ctx, platform.LedgerKey(m.zone()), version)
	switch {
	case bamboorail.KindOf(err) == bamboorail.KindNotFound && err != nil:
		m.applyLedger(platform.NewLedger(), 0)
	case err != nil:
		m.config.Log.Debug("cannot read ledger", "error", err)
		return
	case newer:
		m.ApplyEvent(o)
	}
	m.lastRead = now
}

// applyLedger replaces the ledger by the stored one unless that is older.
// Claims that are not in the store are kept if their terms are higher.
func (m *Manager) applyLedger(stored platform.Ledger, version bamboorail.StoreVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.synced && version < m.version {
		return
	}
	if m.dirty {
		stored, m.dirty = mergeClaims(stored, m.ledger, m.config.Directory.Self().ID)
	}
	m.ledger, m.version, m.synced = stored, version, true
}

// mergeClaims adds to the stored ledger the provisional claims of a session
// whose terms are higher than the stored ones.
func mergeClaims(stored, local platform.Ledger, session string) (platform.Ledger, bool) {
	merged := stored.Clone()
	added := false
	for target, o := range local.Targets {
		s := stored.Targets[target]
		if o.Current.Session != session || o.Current.Term <= s.Current.Term {
			continue
		}
		claim := o.Clone()
		if s.Current.Session != "" && s.Current.Session != session && !holderListed(claim, s.Current) {
			claim.Earlier = append(claim.Earlier, s.Current)
		}
		merged.Targets[target] = claim
		added = true
	}
	return merged, added
}

func holderListed(o platform.Ownership, h platform.Holder) bool {
	for _, e := range o.Earlier {
		if e.Term == h.Term {
			return true
		}
	}
	return false
}

func (m *Manager) view(now time.Time) View {
	d := m.config.Directory
	return View{
		Self: d.Self(), Targets: m.config.Factory.Targets(), Ledger: m.ledger, Candidates: d.Candidates(now),
		StateOf: func(s string) membership.State { return d.StateOf(s, now) },
		Leaving: m.leaving, Settled: m.settled, Drained: m.drained, EarlierCleared: m.earlierCleared,
		Closed: func(target string, term uint64) bool { return m.closed[target] == term }, Now: now,
	}
}

// closedOwner returns the owner of a closed term while it drains.
func (m *Manager) closedOwner(target string, term uint64) (Owner, bool) {
	for _, o := range m.draining[target] {
		if o.history.Term == term {
			return o.owner, true
		}
	}
	return nil, false
}

func (m *Manager) settled(target string, term uint64) bool {
	o, ok := m.closedOwner(target, term)
	return ok && o.Settled()
}

func (m *Manager) drained(target string, term uint64) bool {
	o, ok := m.closedOwner(target, term)
	return ok && o.Drained()
}

func (m *Manager) earlierCleared(target string) bool {
	o, ok := m.current[target]
	return ok && o.owner.EarlierCleared()
}

// planOnce makes a plan and writes it to the store. While the store is
// unavailable, claims that are safe without it are kept in memory.
func (m *Manager) planOnce(ctx context.Context, now time.Time) {
	m.mu.Lock()
	v := m.view(now)
	m.rebalance(v)
	next, changed := Plan(v)
	changed = changed || m.dirty
	version := m.version
	m.mu.Unlock()
	if !changed {
		return
	}
	written, err := platform.WriteLedger(ctx, m.config.Store, m.zone(), next, version)
	switch {
	case err == nil:
		m.written(next, written)
	case bamboorail.KindOf(err) == bamboorail.KindConflict:
		m.refresh(ctx, now)
	default:
		m.config.Log.Debug("cannot write ledger", "error", err)
		m.claimProvisionally(v)
	}
}

func (m *Manager) written(l platform.Ledger, version bamboorail.StoreVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version >= m.version {
		m.ledger, m.version, m.dirty = l, version, false
	}
}

// rebalance closes one owner whose target should move for balance.
func (m *Manager) rebalance(v View) {
	if m.leaving || m.dirty || v.Now.Sub(m.lastMove) < moveInterval {
		return
	}
	target, ok := TargetToMove(v)
	if !ok {
		return
	}
	if o, running := m.current[target]; running {
		m.lastMove = v.Now
		m.closeOwner(target, o)
	}
}

// claimProvisionally claims, without the store, the targets whose owners are
// proven to be gone.
func (m *Manager) claimProvisionally(v View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v.Provisional = true
	if next, changed := Plan(v); changed {
		m.ledger, m.dirty = next, true
	}
}

// Owner returns the owner of a target, if this instance owns it.
func (m *Manager) Owner(target string) (Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.current[target]
	if !ok {
		return nil, false
	}
	return o.owner, true
}

// ForEach calls f for every current owner.
func (m *Manager) ForEach(f func(target string, o Owner)) {
	m.mu.Lock()
	owners := make(map[string]Owner, len(m.current))
	for target, o := range m.current {
		owners[target] = o.owner
	}
	m.mu.Unlock()
	for target, o := range owners {
		f(target, o)
	}
}

// States returns the states of the owned targets to announce to peers.
func (m *Manager) States() []*wire.TargetState {
	m.mu.Lock()
	terms := make(map[string]uint64, len(m.current))
	for target, o := range m.current {
		terms[target] = o.history.Term
	}
	m.mu.Unlock()
	var states []*wire.TargetState
	m.ForEach(func(target string, o Owner) {
		s := o.State()
		s.Target, s.Term = target, terms[target]
		states = append(states, s)
	})
	return states
}

// Synced reports whether the ledger is known.
func (m *Manager) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// releaseTimeout is the time for which a shutdown without running requests
// waits for the release to be recorded in the store.
const releaseTimeout = 2 * time.Second

package placer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	// journalInterval is the interval between two writes of a journal, which collects the
	// orders of several engines; journalCheckInterval that between two checks for orders that are
	// not carried out any more.
	journalInterval      = 50 * time.Millisecond
	journalCheckInterval = 500 * time.Millisecond
	// journalTimeout bounds one call to the store.
	journalTimeout = 500 * time.Millisecond
	// inheritTimeout is the time after the lease was taken for which no order is sent until the
	// journal has been read.
	inheritTimeout = time.Second
	// maxUnknownOrders bounds the orders that are assumed of holders that followed one another
	// within the time in which orders are carried out.
	maxUnknownOrders = 4
)

var errNotInherited = errors.New("the unanswered orders of earlier holders are not read yet")

// OrderJournal keeps the unanswered orders of the holder of a zone in the store, for the holders
// after it: an engine may carry them out when the holder has ended. It is empty while engines
// answer.
type OrderJournal struct {
	key   string
	store bamboorail.RestorableStore
	log   hclog.Logger

	// The fields below belong to the goroutine that keeps the journal.

	// version is the version of the object, 0 if there is none. unknown is the number that it
	// has of the last orders of earlier holders, which were not recorded.
	version bamboorail.StoreVersion
	unknown int
}

// NewOrderJournal returns the journal of a zone, an object of the given kind.
func NewOrderJournal(kind, zone string, store bamboorail.RestorableStore, log hclog.Logger) *OrderJournal {
	return &OrderJournal{key: kind + "/" + zone, store: store, log: log}
}

type wireOrders struct {
	Orders []wireOrder `json:"orders"`
	// Unknown is the number of further orders that each engine may carry out.
	Unknown int `json:"unknown,omitempty"`
}

type wireOrder struct {
	Engine  string `json:"engine"`
	Number  uint64 `json:"number"`
	Unload  bool   `json:"unload,omitempty"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	// AgeMillis is the time since the order as of the write of the object.
	AgeMillis int64 `json:"age-millis"`
}

// Load reads the orders in the store. An object that cannot be decoded counts as empty.
func (j *OrderJournal) Load(ctx context.Context) ([]adapters.UnansweredOrder, error) {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	o, err := j.store.Get(ctx, j.key)
	switch {
	case bamboorail.KindOf(err) == bamboorail.KindNotFound:
		j.version, j.unknown = 0, 0
		return nil, nil
	case err != nil:
		return nil, err
	}
	var w wireOrders
	if err := json.Unmarshal(o.Value, &w); err != nil {
		j.log.Warn("failed to decode unanswered orders", "key", j.key, "error", err)
	}
	j.version, j.unknown = o.Version, max(w.Unknown, 0)
	list, now := make([]adapters.UnansweredOrder, 0, len(w.Orders)), time.Now()
	for _, r := range w.Orders {
		age := time.Duration(max(r.AgeMillis, 0)) * time.Millisecond
		list = append(list, adapters.UnansweredOrder{
			Engine: r.Engine, Number: r.Number, Unload: r.Unload, Key: bamboorail.AdapterKey{Model: r.Model, Adapter: r.Adapter}, Sent: now.Add(-age),
		})
	}
	return list, nil
}

// Store replaces the orders in the store. After a conflict it keeps those that another instance
// has written.
func (j *OrderJournal) Store(ctx context.Context, list []adapters.UnansweredOrder, unknown int) error {
	err := j.write(ctx, list, unknown)
	if bamboorail.KindOf(err) != bamboorail.KindConflict {
		return err
	}
	others, readErr := j.Load(ctx)
	if readErr != nil {
		return errors.Join(err, readErr)
	}
	return j.write(ctx, append(others, list...), max(unknown, j.unknown))
}

func (j *OrderJournal) write(ctx context.Context, list []adapters.UnansweredOrder, unknown int) error {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	if len(list) == 0 && unknown == 0 {
		if j.version == 0 {
			return nil
		}
		err := j.store.Delete(ctx, j.key, j.version)
		if err == nil || bamboorail.KindOf(err) == bamboorail.KindNotFound {
			j.version, j.unknown = 0, 0
			return nil
		}
		return err
	}
	w := wireOrders{Orders: make([]wireOrder, 0, len(list)), Unknown: unknown}
	for _, o := range list {
		w.Orders = append(w.Orders, wireOrder{
			Engine: o.Engine, Number: o.Number, Unload: o.Unload, Model: o.Key.Model, Adapter: o.Key.Adapter, AgeMillis: time.Since(o.Sent).Milliseconds(),
		})
	}
	value, err := json.Marshal(w)
	if err != nil {
		return err
	}
	version, err := j.store.Put(ctx, j.key, value, j.version)
	if err != nil {
		return err
	}
	j.version, j.unknown = version, unknown
	return nil
}

// differs reports whether the object must be written although no order was added: it is no longer
// needed, has another number of unknown orders, or a restore of the store may have lost it.
func (j *OrderJournal) differs(empty bool, unknown int) bool {
	if empty {
		return j.version != 0
	}
	return j.unknown != unknown || j.isLost()
}

// isLost reports whether the store may have lost the orders in a restore.
func (j *OrderJournal) isLost() bool { return j.version != 0 && j.version.Era() < j.store.Era() }

// runJournal keeps the journal until ctx ends.
func (h *Holder) runJournal(ctx context.Context) error {
	for {
		h.keepJournal(ctx)
		if err := task.Sleep(ctx, journalInterval); err != nil {
			return err
		}
		next := time.NewTimer(journalCheckInterval)
		select {
		case <-ctx.Done():
		case <-h.journalWake:
		case <-next.C:
		}
		next.Stop()
	}
}

func (h *Holder) wakeJournal() {
	select {
	case h.journalWake <- struct{}{}:
	default:
	}
}

// keepJournal reads the journal once the lease has been taken, and then writes it.
func (h *Holder) keepJournal(ctx context.Context) {
	h.mu.Lock()
	leading, inherited, since := h.leading, h.inherited, h.tenureAt
	h.mu.Unlock()
	switch {
	case !leading:
	case inherited:
		h.writeJournal(ctx)
	default:
		h.inherit(ctx, since)
	}
}

// inherit reads the unanswered orders of earlier holders.
func (h *Holder) inherit(ctx context.Context, since time.Time) {
	list, err := h.Journal.Load(ctx)
	unknown := h.Journal.unknown
	if h.Lease.IsSuccessor() {
		unknown++
	}
	now := time.Now()
	late := now.Sub(since) > inheritTimeout
	if err != nil && !late {
		h.Log.Debug("unanswered orders not read", "zone", h.Zone, "error", err)
		return
	}
	if err != nil {
		h.Log.Warn("orders are sent without the unanswered orders of earlier holders", "zone", h.Zone, "error", err)
	}
	if len(list) > 0 {
		h.Log.Info("unanswered orders of earlier holders read", "zone", h.Zone, "orders", len(list))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tenureAt != since {
		return
	}
	h.inherited = true
	h.planner.Inherit(list, min(unknown, maxUnknownOrders), now)
}

// writeJournal stores the unanswered orders if they have changed. The engines that did not answer
// accept no further orders until then.
func (h *Holder) writeJournal(ctx context.Context) {
	now := time.Now()
	h.mu.Lock()
	list, changed := h.planner.Unanswered(now)
	unknown := h.planner.UnknownOrders(now)
	h.mu.Unlock()
	if !changed && !h.Journal.differs(len(list) == 0 && unknown == 0, unknown) {
		return
	}
	if err := h.Journal.Store(ctx, list, unknown); err != nil {
		h.Log.Warn("unanswered orders not stored", "zone", h.Zone, "orders", len(list), "error", err)
		return
	}
	h.Log.Debug("unanswered orders stored", "zone", h.Zone, "orders", len(list))
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	h.planner.MarkRecorded(list)
}

// hasInherited reports whether the unanswered orders of earlier holders are known.
func (h *Holder) hasInherited() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inherited
}

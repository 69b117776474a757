package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// adapterStore is what an engine holds of adapters (page PROTOCOL), and the queue for its
// slots. It is used by engines of the cases that load adapters.
type adapterStore struct {
	e        *engine
	places   int // adapter_slots
	loadTime time.Duration
	versions func(adapter string) int // the newest version that is named

	mu      sync.Mutex
	seq     uint64
	held    map[string]*heldAdapter
	running int
	queue   []chan struct{}
	begins  []begin
	crashed bool // ordered to load more than adapter_slots hold
	// mostWaiting is how many may wait for a slot, 0 if any number may; bears is the number
	// of requests that the engine may turn away in a second if it is brittle.
	mostWaiting, bears int
	rejected           []time.Time
	falls              int
}

type heldAdapter struct {
	version int
	runs    int
	pending bool // on its way from the weight store
	next    int  // the version that replaces it once its runs have ended
}

// begin is the moment at which a request began to run.
type begin struct {
	at      time.Time
	id      string
	adapter string
	version int
}

func newAdapterStore(e *engine, places int, versions func(string) int) *adapterStore {
	return &adapterStore{e: e, places: places, loadTime: 250 * time.Millisecond, versions: versions, held: map[string]*heldAdapter{}}
}

// list returns the adapters as NAME@VERSION, and those on their way.
func (a *adapterStore) list() (held, pending []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held, pending = []string{}, []string{}
	for name, h := range a.held {
		if h.pending {
			pending = append(pending, fmt.Sprintf("%s/%s@%d", model, name, h.version))
		} else {
			held = append(held, fmt.Sprintf("%s@%d", name, h.version))
		}
	}
	sort.Strings(held)
	return held, pending
}

// order carries out an order to load or unload an adapter.
func (a *adapterStore) order(body []byte) int {
	var o struct {
		Op, Model, Adapter, Holder string
		Version                    int
		Precondition               *uint64
		FencingToken               *uint64 `json:"fencing_token"`
	}
	if json.Unmarshal(body, &o) != nil || o.Model != model || o.Holder == "" || o.FencingToken == nil || o.Op != "load" && o.Op != "unload" {
		return http.StatusBadRequest
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Precondition != nil && *o.Precondition != a.seq {
		return http.StatusConflict
	}
	if o.Adapter == "" {
		return http.StatusOK // the model is there
	}
	a.e.sys.note("engine %s: order %s %s version %d, number %d, fencing token %d, holder %s", a.e.id, o.Op, o.Adapter, o.Version, a.seq, *o.FencingToken, o.Holder)
	h := a.held[o.Adapter]
	if o.Op == "unload" {
		switch {
		case h == nil:
			return http.StatusOK
		case h.runs > 0:
			return http.StatusConflict
		}
		delete(a.held, o.Adapter)
		a.seq++
		return http.StatusOK
	}
	version := max(o.Version, 1)
	if o.Version == 0 {
		version = max(a.versions(o.Adapter), 1)
	}
	if h != nil && h.version >= version {
		return http.StatusOK
	}
	a.seq++
	if h == nil {
		if len(a.held) >= a.places {
			a.crashed = true
			return http.StatusAccepted
		}
		h = &heldAdapter{version: version, pending: true}
		a.held[o.Adapter] = h
		time.AfterFunc(a.loadTime, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			h.pending = false
		})
		return http.StatusAccepted
	}
	h.next = version
	if h.runs == 0 {
		h.version, h.next = version, 0
	}
	return http.StatusAccepted
}

// run waits for a slot and begins the request. It returns the status of a refusal, or 0 and
// a function that ends the run.
func (a *adapterStore) run(r *http.Request, id, adapter string) (int, func()) {
	expect, _ := strconv.Atoi(r.Header.Get("Bamboorail-Expect-Version"))
	check := func() int {
		h := a.held[adapter]
		switch {
		case adapter == "":
			return 0
		case h == nil:
			return http.StatusMisdirectedRequest
		case h.pending || h.next > 0:
			return http.StatusServiceUnavailable
		case expect > 0 && expect != h.version:
			return http.StatusMisdirectedRequest
		}
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if status := check(); status != 0 {
		return status, nil
	}
	if a.mostWaiting > 0 && a.running >= a.e.slots && len(a.queue) >= a.mostWaiting {
		a.reject(id)
		return http.StatusServiceUnavailable, nil
	}
	if a.running >= a.e.slots {
		turn := make(chan struct{}, 1)
		a.queue = append(a.queue, turn)
		a.e.sys.note("engine %s: request %s for %s waits for a slot, %d wait", a.e.id, id, adapter, len(a.queue))
		a.mu.Unlock()
		select {
		case <-turn:
			a.mu.Lock()
		case <-r.Context().Done():
			a.mu.Lock()
			for n, other := range a.queue {
				if other == turn {
					a.queue = append(a.queue[:n:n], a.queue[n+1:]...)
					return http.StatusServiceUnavailable, nil
				}
			}
			// The slot was given to this request just now.
			a.pass()
			return http.StatusServiceUnavailable, nil
		}
		if status := check(); status != 0 {
			a.pass()
			return status, nil
		}
	} else {
		a.running++
	}
	version := 0
	if h := a.held[adapter]; h != nil {
		h.runs++
		version = h.version
	}
	a.begins = append(a.begins, begin{time.Now(), id, adapter, version})
	a.e.sys.note("engine %s: request %s begins on %s@%d", a.e.id, id, adapter, version)
	return 0, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if h := a.held[adapter]; h != nil {
			if h.runs--; h.runs == 0 && h.next > 0 {
				h.version, h.next = h.next, 0
			}
		}
		a.pass()
	}
}

// reject counts a request that is turned away for want of room. A brittle engine that has
// to turn away too many falls over. The caller holds the lock.
func (a *adapterStore) reject(id string) {
	now := time.Now()
	for len(a.rejected) > 0 && now.Sub(a.rejected[0]) >= time.Second {
		a.rejected = a.rejected[1:]
	}
	a.rejected = append(a.rejected, now)
	a.e.sys.note("engine %s turns %s away: %d run, %d wait", a.e.id, id, a.running, len(a.queue))
	if a.bears > 0 && len(a.rejected) > a.bears {
		a.falls++
		a.rejected = nil
		a.e.sys.note("engine %s falls over: it turned more than %d requests away in a second", a.e.id, a.bears)
		go a.e.crash()
	}
}

// setBrittle lets the engine say how many refusals a second it bears.
func (a *adapterStore) setBrittle(bears int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bears = bears
}

func (a *adapterStore) brittle() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bears
}

// setMostWaiting sets how many requests may wait.
func (a *adapterStore) setMostWaiting(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mostWaiting = n
}

func (a *adapterStore) fallen() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.falls
}

// pass gives a slot to the next request that waits. The caller holds the lock.
func (a *adapterStore) pass() {
	if len(a.queue) == 0 {
		a.running--
		return
	}
	a.queue[0] <- struct{}{}
	a.queue = a.queue[1:]
}

func (a *adapterStore) load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, len(a.queue)
}

func (a *adapterStore) orders() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seq
}

func adapterOf(r *http.Request) string {
	_, adapter, _ := strings.Cut(r.Header.Get("Bamboorail-Model"), "/")
	return adapter
}

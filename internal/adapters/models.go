package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

// modelLoad is the load of a base model, until a report lists the model.
type modelLoad struct {
	model string
	// expected is the usual time of the load, started the time of its order.
	expected time.Duration
	started  time.Time
	accepted bool
}

// ModelLoads returns at most limit orders that load base models on engines
// without one.
func (p *Planner) ModelLoads(models func(service string) []bamboorail.ModelSpec, limit int, now time.Time) []bamboorail.AdapterOrder {
	var orders []bamboorail.AdapterOrder
	for _, name := range p.engineNames() {
		e := p.engines[name]
		if len(orders) >= limit || !e.acceptsLoads(now) || e.entry.Leaving || len(e.models) > 0 {
			continue
		}
		list := models(e.entry.Service)
		if len(list) == 0 {
			continue
		}
		e.modelLoad = &modelLoad{model: list[0].Name, expected: list[0].LoadTime, started: now}
		e.models[list[0].Name] = now.Add(list[0].LoadTime)
		p.markAvailable(bamboorail.AdapterKey{Model: list[0].Name})
		orders = append(orders, bamboorail.AdapterOrder{
			Target: e.entry.ID, Address: e.entry.Address, Key: bamboorail.AdapterKey{Model: list[0].Name},
		})
	}
	return orders
}

// acceptsLoads reports whether the number of the next order is certain and no order makes
// the engine refuse others.
func (e *engine) acceptsLoads(now time.Time) bool {
	return e.synced && !e.busy && e.modelLoad == nil && !now.Before(e.conflict.blockedUntil)
}

// acceptsLoads reports whether an engine may be sent loads of adapters now.
func (p *Planner) acceptsLoads(e *engine, now time.Time) bool {
	return e.acceptsLoads(now) && !p.isRecording(e.entry.ID.Name, now)
}

// recordModelOrder records that an engine accepted the load of its base model.
func (e *engine) recordModelOrder(now time.Time) {
	if l := e.modelLoad; l != nil {
		l.accepted, l.started = true, now
		e.models[l.model] = now.Add(l.expected)
	}
}

// ModelLoadFailed removes a base model whose load was not accepted.
func (p *Planner) ModelLoadFailed(id bamboorail.TargetID, model string) {
	if e := p.engine(id); e != nil {
		e.modelLoad = nil
		delete(e.models, model)
	}
}

// syncModels applies the models of a report that was requested at the given time.
func (p *Planner) syncModels(e *engine, s bamboorail.EngineState, asked, now time.Time) {
	models := make(map[string]time.Time, len(s.Models))
	for model := range s.Models {
		models[model] = now
		p.markAvailable(bamboorail.AdapterKey{Model: model})
	}
	if l := e.modelLoad; l != nil {
		_, listed := models[l.model]
		switch {
		case listed:
			e.modelLoad = nil
		case !l.accepted || s.Busy || asked.Sub(l.started) < maxReportLag:
			// Reports do not list a model before it is loaded.
			models[l.model] = e.models[l.model]
		default:
			e.modelLoad = nil
		}
	}
	e.models, e.busy = models, s.Busy
	if s.Busy && e.modelLoad == nil {
		// The order of another holder is in progress; its end is in a later report only.
		e.desync(now)
	}
}

// checkModelLoad desyncs an engine whose base model is due, so that its end is read.
func (e *engine) checkModelLoad(now time.Time) {
	if l := e.modelLoad; l != nil && l.accepted && !now.Before(e.models[l.model]) {
		e.desync(now)
	}
}

// extendModelLoad extends the load of a base model that takes longer than expected, after
// the engine refused a call. It returns false if the model is not being loaded.
func (e *engine) extendModelLoad(c EndedPlacement, now time.Time) bool {
	l := e.modelLoad
	if l == nil || c.Key.Adapter != "" || c.Key.Model != l.model || now.Sub(l.started) > maxLoadFactor*l.expected {
		return false
	}
	later := c.Sent.Add(max(minModelExtension, time.Duration(extensionFactor*float64(c.Sent.Sub(l.started)))))
	e.models[l.model] = latest(e.models[l.model], later)
	return true
}

// minModelExtension is the least extension of the load of a base model: the time between two
// reads of the state of an engine.
const minModelExtension = 250 * time.Millisecond

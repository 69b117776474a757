package service

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/application"
	"bamboorail.example/bamboorail/internal/engine"
	"bamboorail.example/bamboorail/internal/entry"
	"bamboorail.example/bamboorail/internal/owner"
	"bamboorail.example/bamboorail/internal/ownership"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/record"
)

const (
	targetRefreshInterval = 500 * time.Millisecond
	// defaultApplicationLimit bounds the concurrent calls of one deduplicator to
	// a target whose record sets no limit.
	defaultApplicationLimit = 64
)

// factory creates the owners of targets in this zone.
type factory struct{ instance *Instance }

var _ ownership.Factory = (*factory)(nil)

// Targets lists the engines and deduplicators of this zone.
func (f *factory) Targets() []string {
	var names []string
	services := map[string]bool{}
	for _, t := range f.instance.config.View().Targets() {
		if t.Zone() != f.instance.settings.Zone {
			continue
		}
		if t.Role() == record.RoleEngine {
			names = append(names, t.Name())
			continue
		}
		services[t.Service()] = true
	}
	for s := range services {
		for n := range entry.DeduplicatorShards {
			names = append(names, entry.DeduplicatorTarget(s, n))
		}
	}
	slices.Sort(names)
	return names
}

// New returns the owner of a target.
func (f *factory) New(target string, e placement.TermHistory, began time.Time) (ownership.Owner, error) {
	if service, ok := deduplicatorService(target); ok {
		k := owner.NewDeduplicator(target, e, began, f.instance.logs.Layer("keeper"))
		k.SetBackends(f.instance.backends(service))
		return k, nil
	}
	t, ok := f.instance.config.View().Target(target)
	if !ok {
		return nil, fmt.Errorf("target %q is not declared", target)
	}
	return owner.NewEngine(f.instance.engineConfig(t, e)), nil
}

// deduplicatorService returns the service of a target, and whether the target is
// a deduplicator.
func deduplicatorService(target string) (string, bool) {
	rest, ok := strings.CutPrefix(target, "service/")
	if !ok {
		return "", false
	}
	service, shard, _ := strings.Cut(rest, "/")
	_, err := strconv.Atoi(shard)
	return service, err == nil
}

func (i *Instance) engineConfig(t record.Target, e placement.TermHistory) owner.EngineConfig {
	s := placement.DefaultSettings()
	var policy placement.Policy = placement.Weighted{}
	if i.settings.Policy == "naive" {
		policy = placement.Naive{}
	}
	return owner.EngineConfig{
		Target:   t.Name(),
		Limits:   placement.Limits{Slots: t.Slots(), MaxBatch: t.MaxBatch(), ChecksFencing: t.ChecksFencing()},
		Settings: s, Policy: policy, TermHistory: e,
		Client:  &tracedEngine{Engine: engine.New(t, i.engineTransport, i.singleUseTransport), target: t.Name(), tracer: i.tracer},
		Permits: &permits{i}, Catalog: &catalog{i},
		Log: i.logs.Layer("owner"), Observer: i.metrics,
	}
}

// catalog looks up the weights of declared models.
type catalog struct{ instance *Instance }

// Source returns the path of the weights of a model.
func (c *catalog) Source(m bamboorail.ModelRef) (string, bool) {
	a, ok := c.instance.config.View().Adapter(m.Adapter())
	if !ok {
		return "", false
	}
	v, ok := a.Version(m.Version())
	if !ok {
		return "", false
	}
	if v.Source == "" {
		return "weights/" + m.Adapter() + "/" + m.Version(), true
	}
	return v.Source, true
}

// backends lists the application targets of a service in this zone that accept
// new calls. The limit of each target is divided among the deduplicators of the
// service.
func (i *Instance) backends(service string) []owner.Backend {
	var list []owner.Backend
	for _, t := range i.config.View().Targets() {
		if t.Role() != record.RoleApplication || t.Service() != service || t.Zone() != i.settings.Zone || i.refusal(t) != nil {
			continue
		}
		limit := defaultApplicationLimit
		if t.MaxBatch() > 0 {
			limit = (t.MaxBatch() + entry.DeduplicatorShards - 1) / entry.DeduplicatorShards
		}
		list = append(list, owner.Backend{Name: t.Name(), Limit: limit, Application: &tracedApplication{
			next: application.New(t, i.singleUseTransport), target: t.Name(), tracer: i.tracer,
		}})
	}
	return list
}

var (
	errDraining        = errors.New("the target is draining")
	errInstanceLeaving = errors.New("the platform lists the target's instance as leaving")
)

// refusal returns nil if a target accepts new work, and otherwise the reason why
// it does not.
func (i *Instance) refusal(t record.Target) error {
	cause := errDraining
	switch {
	case t.Draining():
	case i.directory.InstanceLeaving(t.Instance()):
		cause = errInstanceLeaving
	default:
		return nil
	}
	return &Error{bamboorail.Failure{
		Op: "admit", Kind: bamboorail.KindNoTarget, Outcome: bamboorail.OutcomeNotRun, RetryAfter: time.Second, Err: cause,
	}}
}

// refreshTargets applies changes of target records to their owners.
func (i *Instance) refreshTargets(ctx context.Context) error {
	return task.Every(ctx, targetRefreshInterval, func(context.Context) {
		view := i.config.View()
		i.manager.ForEach(func(target string, o ownership.Owner) {
			if k, ok := o.(*owner.Deduplicator); ok {
				service, _ := deduplicatorService(target)
				k.SetBackends(i.backends(service))
				return
			}
			if t, ok := view.Target(target); ok {
				o.Close(i.refusal(t))
			}
		})
	})
}

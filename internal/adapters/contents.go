package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

// contents are the adapters that occupy slots of an engine, by its reports and its answers
// to orders, whatever is planned.
type contents map[bamboorail.AdapterKey]content

// content is an adapter that occupies a slot.
type content struct {
	version int
	// loading is set until a report lists the adapter as loaded, for an order that was
	// accepted at the time accepted.
	loading  bool
	accepted time.Time
	// unloading is set while the engine keeps the adapter for the calls that use it. It
	// accepts no order meanwhile; unload is the number of the order.
	unloading bool
	unload    uint64
	// replaced is set while another version is loaded, in a slot of its own.
	replaced bool
}

// taken returns the number of occupied slots.
func (c contents) taken() int {
	n := len(c)
	for _, item := range c {
		if item.replaced {
			n++
		}
	}
	return n
}

// reportedContents returns what a report lists.
func reportedContents(s bamboorail.EngineState) contents {
	c := contents{}
	for model, list := range s.Models {
		for name, version := range list {
			c[bamboorail.AdapterKey{Model: model, Adapter: name}] = content{version: version}
		}
	}
	for _, key := range s.Pending {
		item, held := c[key]
		if held {
			item.replaced = true
		} else {
			item.loading = true
		}
		c[key] = item
	}
	return c
}

// update applies a report that was requested at the given time.
func (c contents) update(s bamboorail.EngineState, asked time.Time) contents {
	next := reportedContents(s)
	for key, old := range c {
		item, listed := next[key]
		switch {
		case !listed && old.loading && asked.Sub(old.accepted) < maxReportLag:
			// The load was accepted after the report was made.
			next[key] = old
		case listed && old.unloading && s.Orders == old.unload+1:
			item.unloading, item.unload = true, old.unload
			next[key] = item
		case listed && item.loading && old.loading:
			// Reports name no versions of loads.
			item.version, item.accepted = old.version, old.accepted
			next[key] = item
		}
	}
	return next
}

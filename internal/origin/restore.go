package origin

import (
	"context"
	"time"
)

// A restore of the store from a copy loses the origins that were stored since. The instances
// that still keep them store them again: the one that recorded a stream, and the holder that
// wrote it, so that either may have ended.

// storeLost stores the origins that a restore of the store lost. What could not be stored is
// tried again with the next call.
func (r *Registry) storeLost(ctx context.Context) {
	r.observeRestore()
	lost, era := r.table.lostBatch(r.mixedServices())
	if len(lost) == 0 {
		return
	}
	missing := lost
	if r.isLeading() {
		// A copy is mostly some seconds old: it has nearly all that a holder stored within
		// the lifetime of a stream.
		stored := r.reader.readSince(ctx, time.Now())
		if stored.err != nil || stored.era < era {
			return
		}
		missing = lost.without(stored.streams)
	}
	if len(missing) > 0 {
		if err := r.storeNow(ctx, missing); err != nil {
			r.Log.Warn("origins of streams not stored after a restore of the store", "era", era, "streams", missing.size(), "error", err)
			return
		}
	}
	r.table.markStored(lost, era)
	r.Log.Info("origins of streams stored after a restore of the store", "era", era, "streams", missing.size(), "of", lost.size())
}

func (r *Registry) observeRestore() { r.table.restore(r.Store.Era()) }

// storeReceived stores origins that another instance sent, except those that this holder has
// stored in the current era.
func (r *Registry) storeReceived(ctx context.Context, zone string, b batch) error {
	r.observeRestore()
	era := r.Store.Era()
	// A flush without further origins still ends after those that were queued before.
	if err := r.storeIn(ctx, zone, r.table.notStored(b)); err != nil {
		return err
	}
	r.table.recordStored(b, era, time.Now())
	r.table.markStored(b, era)
	return nil
}

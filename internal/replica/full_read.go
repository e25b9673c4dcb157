package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"eiderhitch/internal/store"
	"eiderhitch/internal/wire"
)

const (
	// fullReadShare is the share of the key-value store's request rate limit that the full reads of
	// all controllers together use. The rest is left for renewals of leases, for transactions and,
	// up to readShare, for the other reads.
	fullReadShare = 0.5
	// fullReadBurst is the time whose share of requests a full read may send at once. Together with
	// the rate itself, all bursts stay within those of one second, which the store allows.
	fullReadBurst = time.Second
)

// newFullReadLimiter returns the limiter for the pages of one controller's full reads.
func newFullReadLimiter(config *Config) *rate.Limiter {
	perSecond := config.RequestsPerSecond * fullReadShare / float64(config.ControllerCount)
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*fullReadBurst.Seconds())))
}

// fullRead is a read of all keys, page by page. It keeps the pages that were read when a request
// fails: controllers that start together refuse each other requests, and with more keys than the
// store's limit allows to read at once, none of them would ever get to the end.
type fullRead struct {
	// items holds the items of the pages, but for those that were archived.
	items []wire.Item
	// revision is the revision of the first page, and after the last key of the last one.
	revision uint64
	after    string
	// hasPages is set once a page was read, isComplete once the last one was.
	hasPages, isComplete bool
}

// add adds the next page. archive returns the items of the page that are to be kept.
func (f *fullRead) add(page *wire.ItemPage, archive func(items []wire.Item, revision uint64) []wire.Item) {
	if !f.hasPages {
		f.hasPages, f.revision = true, page.Revision
	}
	f.isComplete = !page.HasMore || len(page.Items) == 0
	if len(page.Items) > 0 {
		f.after = page.Items[len(page.Items)-1].Key
	}
	f.items = append(f.items, archive(page.Items, f.revision)...)
}

// loadAll reads the pages that the current full read lacks and the changes since its first page,
// applies them to the replica and sets cursor to the replica's cursor. After an error the next call
// goes on with the page that failed.
func (r *Reader) loadAll(ctx context.Context, cursor *uint64) error {
	for !r.fullRead.isComplete {
		if err := r.readNextPage(ctx); err != nil {
			return fmt.Errorf("full read after key %q: %w", r.fullRead.after, err)
		}
	}
	// The replica is as recent as this request, not as the first page.
	start := time.Now()
	response, err := r.store.Watch(ctx, r.config.KeyPrefix, r.fullRead.revision, 0)
	if errors.Is(err, store.ErrCompacted) {
		r.fullRead = fullRead{} // there is no way from the first page to the present any more
	}
	if err != nil {
		return fmt.Errorf("changes since the full read: %w", err)
	}
	r.loop.Call(ctx, func() {
		r.replica.Load(r.fullRead.items, r.fullRead.revision, response)
		r.config.OnLoaded()
		r.replica.AdvanceReadTime(start)
		*cursor = r.replica.Cursor()
	})
	r.fullRead = fullRead{}
	return nil
}

// readNextPage reads the next page of the current full read.
func (r *Reader) readNextPage(ctx context.Context) error {
	if err := r.fullReadLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("wait for the rate limit: %w", err)
	}
	page, err := r.store.ListPage(ctx, r.config.KeyPrefix, r.fullRead.after)
	if err != nil {
		return err
	}
	r.loop.Call(ctx, func() { r.fullRead.add(page, r.config.Archive) })
	return nil
}

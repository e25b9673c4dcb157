package store

import "context"

// maxContested is how many changes a transaction with contested ones may have.
const maxContested = 4

func fitsTransaction(batch []*Write, ops int) bool {
	n, conds, size, contested := 0, 0, 0, false
	// Units that touch a key which another unit of the batch writes must not
	// share a transaction: their conditions would both hold, and "cancelled"
	// and "done" of one job could both be granted.
	written := map[string]bool{}
	for _, u := range batch {
		for _, c := range u.Conditions {
			if written[c.Key] {
				return false
			}
		}
		for _, c := range u.Changes {
			if written[c.Key()] {
				return false
			}
		}
		for _, c := range u.Changes {
			written[c.Key()] = true
		}
		n += len(u.Changes)
		conds += len(u.Conditions)
		size += u.size
		contested = contested || u.Contested
	}
	if contested {
		ops = min(ops, maxContested)
	}
	return n <= ops && conds <= 3*ops && size <= MaxTxnBytes
}

// gather waits for a unit and takes those that are queued behind it and fit, and
// the first that doesn't, which is for the next batch.
func (w *Writer) gather(ctx context.Context, early, usual <-chan *Write, carry *Write) (batch []*Write, over *Write) {
	first := carry
	if first == nil {
		first = w.next(early, usual)
	}
	if first == nil {
		select {
		case first = <-w.urgent:
		case first = <-early:
		case first = <-usual:
		case <-ctx.Done():
			return nil, nil
		}
	}
	batch = []*Write{first}
	ops := w.rate.batch(w.maxChanges)
	for fitsTransaction(batch, ops) {
		var u *Write
		if first.ahead() {
			select {
			case u = <-w.urgent:
			default:
			}
		} else {
			u = poll(early, usual)
		}
		if u == nil {
			return batch, nil
		}
		batch = append(batch, u)
	}
	if n := len(batch) - 1; n > 0 {
		return batch[:n], batch[n]
	}
	return batch, nil // larger alone than a batch should be
}

// next is the unit whose turn it is, or nil.
func (w *Writer) next(early, usual <-chan *Write) *Write {
	select {
	case u := <-w.urgent:
		return u
	default:
		return poll(early, usual)
	}
}

// poll takes a unit from the first queue that has one.
func poll(queues ...<-chan *Write) *Write {
	for _, q := range queues {
		select {
		case u := <-q:
			return u
		default:
		}
	}
	return nil
}

package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lagoonstile"
	"lagoonstile/deduplicator"
)

// pageBytes bounds the answers in one page of a handover, nearly.
const pageBytes = 1 << 20

// entryBytes is what an entry without an answer costs in a page, nearly.
const entryBytes = 128

// idlePoll is how often a sealed table is looked at for running orders.
const idlePoll = 10 * time.Millisecond

// ErrNoSuccessor says that there was nobody to hand the keys to.
var ErrNoSuccessor = errors.New("no successor for order keys")

// Seal stops this instance from taking new keys.
func (d *Dispatcher) Seal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, table := range d.tables() {
		table.Seal()
	}
}

// HandOver gives every table to the successor, after the orders that run have
// ended. It must be called once, after Seal. An empty successor means that
// there is none: the error is ErrNoSuccessor and the keys end here.
func (d *Dispatcher) HandOver(ctx context.Context, successor lagoonstile.InstanceID) error {
	defer close(d.handed)
	if successor == "" {
		return ErrNoSuccessor
	}
	if err := d.awaitIdle(ctx); err != nil {
		return err
	}
	for _, pages := range d.export() {
		for _, page := range pages {
			if err := d.peers.HandOver(ctx, successor, page); err != nil {
				return fmt.Errorf("hand over keys of %s to %s, page %d: %w", HomeID(page.Home), successor, page.Number, err)
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.successor = successor
	return nil
}

// Successor returns the instance that has this one's keys, or "".
func (d *Dispatcher) Successor() lagoonstile.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.successor
}

// awaitIdle waits until no order runs.
func (d *Dispatcher) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for d.running() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("orders still run: %w", ctx.Err())
		}
	}
	return nil
}

func (d *Dispatcher) running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, table := range d.tables() {
		n += table.Running()
	}
	return n
}

// tables needs the lock.
func (d *Dispatcher) tables() []*Table {
	tables := []*Table{d.own}
	for _, table := range d.adopted {
		tables = append(tables, table)
	}
	return tables
}

// export returns each table as pages.
func (d *Dispatcher) export() [][]Page {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all [][]Page
	for _, table := range d.tables() {
		all = append(all, paginate(table.Home(), table.Export()))
	}
	return all
}

// paginate cuts a table into pages; an empty one is one page.
func paginate(home lagoonstile.Home, entries []deduplicator.Entry[Kept]) []Page {
	pages := []Page{{Home: home}}
	size := 0
	for _, entry := range entries {
		last := &pages[len(pages)-1]
		if size > pageBytes {
			pages = append(pages, Page{Home: home, Number: last.Number + 1})
			last = &pages[len(pages)-1]
			size = 0
		}
		last.Entries = append(last.Entries, entry)
		size += entry.Size + len(entry.Key) + entryBytes
	}
	pages[len(pages)-1].Last = true
	return pages
}

// Receive takes one page of a table that a peer hands over. The table is in
// use from its last page on. A page that comes out of turn ends the handover.
func (d *Dispatcher) Receive(now time.Time, page Page) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := HomeID(page.Home)
	if d.own.Sealed() {
		return fmt.Errorf("keys of %s: this instance is leaving itself", id)
	}
	if d.adopted[id] != nil || id == HomeID(d.own.Home()) {
		return fmt.Errorf("keys of %s are here already", id)
	}
	if page.Number != len(d.staging[id]) {
		delete(d.staging, id)
		return fmt.Errorf("keys of %s: page %d out of turn", id, page.Number)
	}
	d.staging[id] = append(d.staging[id], page)
	if !page.Last {
		return nil
	}
	var entries []deduplicator.Entry[Kept]
	for _, staged := range d.staging[id] {
		entries = append(entries, staged.Entries...)
	}
	delete(d.staging, id)
	d.adopted[id] = deduplicator.Adopt(now, page.Home, entries, d.limits)
	return nil
}

// Expire drops adopted tables whose keys are all closed.
func (d *Dispatcher) Expire(now time.Time, after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, table := range d.adopted {
		if now.Sub(table.Born()) > after && table.Running() == 0 {
			delete(d.adopted, id)
		}
	}
}

// Sealed reports whether this instance takes no new keys.
func (d *Dispatcher) Sealed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own.Sealed()
}

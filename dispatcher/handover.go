package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lagoonstile"
	"lagoonstile/deduplicator"
)

// maxPageBytes is the approximate maximum size of one page of a handover. A page
// may exceed it by one entry.
const maxPageBytes = 1 << 20

// entryOverheadBytes is the approximate size of an entry in a page without its key
// and answer.
const entryOverheadBytes = 128

// idlePollInterval is how often a sealed instance checks whether orders are still
// running.
const idlePollInterval = 10 * time.Millisecond

// ErrNoSuccessor means that there is no instance to hand the keys over to.
var ErrNoSuccessor = errors.New("no successor for order keys")

// Seal makes all tables of this instance reject new keys.
func (d *Dispatcher) Seal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, table := range d.allTables() {
		table.Seal()
	}
}

// HandOver waits until no order is running and sends every table to the successor.
// It must be called once, after Seal. If successor is empty, there is no instance
// to hand over to: HandOver returns ErrNoSuccessor, and the keys are lost when this
// instance ends.
func (d *Dispatcher) HandOver(ctx context.Context, successor lagoonstile.InstanceID) error {
	defer close(d.handoverDone)
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

// Successor returns the instance that the keys of this instance were handed over
// to, or "".
func (d *Dispatcher) Successor() lagoonstile.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.successor
}

// awaitIdle waits until no order runs or the context is done.
func (d *Dispatcher) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for d.runningOrders() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("orders are still running: %w", ctx.Err())
		}
	}
	return nil
}

// runningOrders returns the number of running orders in all tables.
func (d *Dispatcher) runningOrders() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, table := range d.allTables() {
		count += table.Running()
	}
	return count
}

// allTables returns the table of this incarnation and the adopted ones. The caller
// must hold d.mu.
func (d *Dispatcher) allTables() []*Table {
	tables := []*Table{d.own}
	for _, table := range d.adopted {
		tables = append(tables, table)
	}
	return tables
}

// export returns the pages of each table.
func (d *Dispatcher) export() [][]Page {
	d.mu.Lock()
	defer d.mu.Unlock()
	var pages [][]Page
	for _, table := range d.allTables() {
		pages = append(pages, paginate(table.Home(), table.Export()))
	}
	return pages
}

// paginate splits the entries of a table into pages. A table without entries has
// one empty page.
func paginate(home lagoonstile.Home, entries []deduplicator.Entry[StoredAnswer]) []Page {
	pages := []Page{{Home: home}}
	size := 0
	for _, entry := range entries {
		last := &pages[len(pages)-1]
		if size > maxPageBytes {
			pages = append(pages, Page{Home: home, Number: last.Number + 1})
			last = &pages[len(pages)-1]
			size = 0
		}
		last.Entries = append(last.Entries, entry)
		size += entry.Size + len(entry.Key) + entryOverheadBytes
	}
	pages[len(pages)-1].Last = true
	return pages
}

// Receive stores one page of a table that a peer hands over, and adopts the table
// with the last page. A page that is out of order ends the handover: Receive
// discards the pages received before and returns an error.
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
	var entries []deduplicator.Entry[StoredAnswer]
	for _, staged := range d.staging[id] {
		entries = append(entries, staged.Entries...)
	}
	delete(d.staging, id)
	d.adopted[id] = deduplicator.Adopt(now, page.Home, entries, d.limits)
	return nil
}

// RemoveExpired removes adopted tables in which no order is running and that were
// adopted more than ttl ago. The ttl must be long enough that none of their keys is
// valid any more.
func (d *Dispatcher) RemoveExpired(now time.Time, ttl time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, table := range d.adopted {
		if now.Sub(table.CreatedAt()) > ttl && table.Running() == 0 {
			delete(d.adopted, id)
		}
	}
}

// Sealed reports whether this instance rejects new keys.
func (d *Dispatcher) Sealed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own.Sealed()
}

// Package partitioner divides a fleet into cells.
//
// A cell is a group of instances that use the same servers. Its members tell each
// other about those servers, and nobody else, so the messages, the memory and the
// work of one instance do not grow with the fleet. Every cell gets an even share of
// the instances and servers of each failure domain, so that a lost failure domain
// costs each cell the same part.
//
// Each instance computes the cells by itself from the announced members and the
// registered servers. The result depends on these lists only. Two instances with
// different lists differ in few places, because a member or server that comes or
// goes moves few others: an item belongs to the cell that ranks highest for it by a
// hash (rendezvous hashing; D. Thaler, C. Ravishankar, "Using name-based mappings to
// increase hit rates", IEEE/ACM Transactions on Networking 6, 1998), among those
// with room left. The rooms of cells differ by at most one, and items take them in
// the order of their hashes.
package partitioner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lagoonstile"
	"lagoonstile/ranker"
)

// Sizes of cells.
const (
	// cellSize is the aimed number of instances of a cell. In a larger cell messages
	// cost more; in a smaller one the failure of a few instances leaves too few.
	cellSize = 16
	// childCells is the number of cells that read from one cell.
	childCells = 4
	// minServersPerCell is the number of servers of a service for each cell below
	// which all cells use all servers of the service.
	minServersPerCell = 3
)

// Cell is the number of a cell, from 0.
type Cell int

// Partition is the division of a fleet into cells. The zero value has one cell,
// which holds everything.
type Partition struct {
	// cells is the number of cells, or 0 for one.
	cells   int
	members map[lagoonstile.InstanceID]Cell
}

// Divide divides the members of a fleet into cells.
func Divide(members []lagoonstile.Member) *Partition {
	p := &Partition{cells: max((len(members)+cellSize/2)/cellSize, 1), members: make(map[lagoonstile.InstanceID]Cell, len(members))}
	domains := make(map[lagoonstile.FailureDomain][]item)
	for n, member := range members {
		domains[member.FailureDomain] = append(domains[member.FailureDomain], newItem(n, string(member.ID)))
	}
	for domain, items := range domains {
		p.assign(string(domain), items, func(n int, cell Cell) { p.members[members[n].ID] = cell })
	}
	return p
}

// Cells returns the number of cells.
func (p *Partition) Cells() int { return max(p.cells, 1) }

// CellOf returns the cell of a member, or cell 0 if it is unknown.
func (p *Partition) CellOf(id lagoonstile.InstanceID) Cell { return p.members[id] }

// Parent returns the cell from which a cell reads what all cells need, and false for
// cell 0, which reads the source itself. The cells form a tree, so that the source
// serves one cell, and each cell few others.
func (c Cell) Parent() (Cell, bool) { return (c - 1) / childCells, c > 0 }

// Backends returns those of the servers that a cell uses, in the same order.
func (p *Partition) Backends(cell Cell, backends []lagoonstile.Backend) []lagoonstile.Backend {
	if p.Cells() == 1 {
		return backends
	}
	perService := make(map[lagoonstile.ServiceID]int)
	for _, backend := range backends {
		perService[backend.Service]++
	}
	used := make([]bool, len(backends))
	pools := make(map[pool][]item)
	for n, backend := range backends {
		if perService[backend.Service] < minServersPerCell*p.Cells() {
			used[n] = true
			continue
		}
		key := pool{service: backend.Service, domain: backend.FailureDomain}
		pools[key] = append(pools[key], newItem(n, string(backend.ID)))
	}
	for key, items := range pools {
		p.assign(string(key.service)+"/"+string(key.domain), items, func(n int, of Cell) { used[n] = of == cell })
	}
	var own []lagoonstile.Backend
	for n, backend := range backends {
		if used[n] {
			own = append(own, backend)
		}
	}
	return own
}

// pool is the group of servers that is divided evenly.
type pool struct {
	service lagoonstile.ServiceID
	domain  lagoonstile.FailureDomain
}

// item is an instance or server to be assigned to a cell.
type item struct {
	// index is its position in the caller's list.
	index int
	hash  uint64
}

func newItem(index int, id string) item { return item{index: index, hash: xxhash.Sum64String(id)} }

// assign assigns the items of the named group to cells and calls set for each of
// them.
func (p *Partition) assign(group string, items []item, set func(index int, cell Cell)) {
	first := int(xxhash.Sum64String(group) % uint64(p.Cells()))
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.hash, b.hash) })
	cells := p.Cells()
	room := make([]int, cells)
	for cell := range room {
		room[cell] = len(items) / cells
	}
	// The remainder goes to a run of cells that starts elsewhere for each group, so
	// that no cell gets more of every group.
	for n := range len(items) % cells {
		room[(first+n)%cells]++
	}
	for _, it := range items {
		cell := bestCell(it.hash, room)
		room[cell]--
		set(it.index, cell)
	}
}

// bestCell returns the cell that ranks highest for a hash among those with room. At
// least one must have room.
func bestCell(hash uint64, room []int) Cell {
	best, bestRank := -1, uint64(0)
	for cell, left := range room {
		if left == 0 {
			continue
		}
		if rank := ranker.Rank(hash, uint64(cell+1)); best < 0 || rank > bestRank {
			best, bestRank = cell, rank
		}
	}
	return Cell(best)
}

package scheduler_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lagoonstile"
	"lagoonstile/internal/checker"
	"lagoonstile/scheduler"
)

var epoch = time.Unix(0, 0)

// TestQueueKeepsItsRules drives a queue in any order against a plain account
// of it: every ticket ends exactly once, no more run than there is room, nobody
// waits beside a free place, and a caller's tickets keep their order.
func TestQueueKeepsItsRules(t *testing.T) {
	checker.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		queue := scheduler.New(capacity, scheduler.DefaultShares)
		now := epoch
		running := map[*scheduler.Ticket]bool{}
		waiting := map[*scheduler.Ticket]int{}
		serial := 0
		apply := func(t *rapid.T, actions []scheduler.Action) {
			for _, action := range actions {
				order, known := waiting[action.Ticket]
				if !known {
					t.Fatalf("decision %s on a ticket that does not wait", action.Decision)
				}
				delete(waiting, action.Ticket)
				if action.Decision == scheduler.DecisionShed {
					continue
				}
				running[action.Ticket] = true
				for other, arrived := range waiting {
					if other.Rank == action.Ticket.Rank && other.Caller == action.Ticket.Caller && arrived < order {
						t.Fatalf("ticket %d overtook %d of the same caller", order, arrived)
					}
				}
			}
		}
		any := func(tickets map[*scheduler.Ticket]bool) *scheduler.Ticket {
			for ticket := range tickets {
				return ticket
			}
			return nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				serial++
				ticket := &scheduler.Ticket{
					Rank:     rapid.SampledFrom(lagoonstile.Ranks()).Draw(t, "rank"),
					Caller:   rapid.SampledFrom([]lagoonstile.CallerID{"a", "b"}).Draw(t, "caller"),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond),
				}
				decision, actions := queue.Arrive(now, ticket)
				apply(t, actions)
				switch decision {
				case scheduler.DecisionRun:
					running[ticket] = true
				case scheduler.DecisionWait:
					waiting[ticket] = serial
				}
			},
			"release": func(t *rapid.T) {
				if ticket := any(running); ticket != nil {
					delete(running, ticket)
					apply(t, queue.Release(now, ticket))
					if len(queue.Release(now, ticket)) > 0 {
						t.Fatal("a ticket was released twice")
					}
				}
			},
			"cancel": func(t *rapid.T) {
				for ticket := range waiting {
					if !queue.Cancel(ticket) {
						t.Fatal("a waiting ticket cannot be cancelled")
					}
					delete(waiting, ticket)
					return
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(t *rapid.T) { apply(t, queue.Expire(now)) },
			"resize": func(t *rapid.T) {
				capacity = rapid.IntRange(1, 5).Draw(t, "capacity")
				apply(t, queue.Resize(now, capacity))
			},
			"": func(t *rapid.T) {
				total := 0
				for _, rank := range lagoonstile.Ranks() {
					total += queue.Waiting(rank)
				}
				if queue.Running() != len(running) || total != len(waiting) {
					t.Fatalf("queue counts %d running, %d waiting; want %d, %d", queue.Running(), total, len(running), len(waiting))
				}
				if total > 0 && len(running) < capacity {
					t.Fatalf("%d wait beside %d free places", total, capacity-len(running))
				}
			},
		})
	})
}

// ending is a running ticket's end.
type ending struct {
	at     time.Time
	ticket *scheduler.Ticket
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// offer is the load of one rank: a request every interval, each of the given
// work.
type offer struct {
	rank     lagoonstile.Rank
	interval time.Duration
	work     time.Duration
}

// simulate runs offers against a queue and returns the slot time that each
// rank got and how many of its requests ran, per offered.
func simulate(capacity int, span time.Duration, offers []offer) (map[lagoonstile.Rank]time.Duration, map[lagoonstile.Rank]float64) {
	queue := scheduler.New(capacity, scheduler.DefaultShares)
	busy := map[lagoonstile.Rank]time.Duration{}
	ran := map[lagoonstile.Rank]float64{}
	works := map[lagoonstile.Rank]time.Duration{}
	next := make([]time.Duration, len(offers))
	for _, o := range offers {
		works[o.rank] = o.work
	}
	var ends endings
	start := func(now time.Time, ticket *scheduler.Ticket) {
		ran[ticket.Rank]++
		busy[ticket.Rank] += works[ticket.Rank]
		heap.Push(&ends, ending{now.Add(works[ticket.Rank]), ticket})
	}
	run := func(now time.Time, actions []scheduler.Action) {
		for _, action := range actions {
			if action.Decision == scheduler.DecisionRun {
				start(now, action.Ticket)
			}
		}
	}
	for at := time.Duration(0); at < span; at += 500 * time.Microsecond {
		now := epoch.Add(at)
		for len(ends) > 0 && !ends[0].at.After(now) {
			end := heap.Pop(&ends).(ending)
			run(end.at, queue.Release(end.at, end.ticket))
		}
		for i, o := range offers {
			for next[i] <= at {
				next[i] += o.interval
				ticket := &scheduler.Ticket{Rank: o.rank, Caller: lagoonstile.CallerID(fmt.Sprint(o.rank, next[i]%7)), Deadline: now.Add(time.Second)}
				decision, actions := queue.Arrive(now, ticket)
				run(now, actions)
				if decision == scheduler.DecisionRun {
					start(now, ticket)
				}
			}
		}
	}
	goodput := map[lagoonstile.Rank]float64{}
	for _, o := range offers {
		goodput[o.rank] = ran[o.rank] / (float64(span) / float64(o.interval))
	}
	return busy, goodput
}

// TestFloods states what each rank keeps while another one floods: the lower
// ranks their shares to within 5%, the more urgent ones 99% of their requests.
func TestFloods(t *testing.T) {
	const capacity = 24
	const work = 10 * time.Millisecond
	// full is the interval at which one rank alone would fill the capacity.
	const full = work / capacity
	tests := []struct {
		name   string
		offers []offer
		shares map[lagoonstile.Rank]float64
		whole  []lagoonstile.Rank
	}{
		{
			"orders flood at 10 times",
			[]offer{{lagoonstile.RankOrders, full / 10, work}, {lagoonstile.RankLookups, full * 2, work}, {lagoonstile.RankDownloads, full * 2, work}},
			map[lagoonstile.Rank]float64{lagoonstile.RankLookups: 0.2, lagoonstile.RankDownloads: 0.1},
			nil,
		},
		{
			"downloads flood at 10 times",
			[]offer{{lagoonstile.RankOrders, full * 4, work}, {lagoonstile.RankLookups, full * 4, work}, {lagoonstile.RankDownloads, full / 10, work}},
			map[lagoonstile.Rank]float64{lagoonstile.RankDownloads: 0.5},
			[]lagoonstile.Rank{lagoonstile.RankOrders, lagoonstile.RankLookups},
		},
		{
			"long downloads flood",
			[]offer{{lagoonstile.RankOrders, full * 4, work}, {lagoonstile.RankLookups, full * 4, work}, {lagoonstile.RankDownloads, full, 20 * work}},
			nil,
			[]lagoonstile.Rank{lagoonstile.RankOrders, lagoonstile.RankLookups},
		},
		{
			"an unused share goes to others",
			[]offer{{lagoonstile.RankOrders, full / 10, work}, {lagoonstile.RankDownloads, full * 2, work}},
			map[lagoonstile.Rank]float64{lagoonstile.RankOrders: 0.9, lagoonstile.RankDownloads: 0.1},
			nil,
		},
	}
	const span = 20 * time.Second
	for _, test := range tests {
		busy, goodput := simulate(capacity, span, test.offers)
		total := float64(capacity) * float64(span)
		for rank, share := range test.shares {
			got := float64(busy[rank]) / total
			if got < share*0.95 || got > share*1.05 {
				t.Errorf("%s: %s got %.3f of the slot time, want %.3f within 5%%", test.name, rank, got, share)
			}
		}
		for _, rank := range test.whole {
			if goodput[rank] < 0.99 {
				t.Errorf("%s: %s kept %.3f of its requests, want 0.99", test.name, rank, goodput[rank])
			}
		}
	}
}

// TestCallersTakeTurns keeps one caller's flood from the others' requests.
func TestCallersTakeTurns(t *testing.T) {
	queue := scheduler.New(1, scheduler.DefaultShares)
	deadline := epoch.Add(time.Hour)
	first := &scheduler.Ticket{Rank: lagoonstile.RankLookups, Caller: "flood", Deadline: deadline}
	queue.Arrive(epoch, first)
	for range 20 {
		queue.Arrive(epoch, &scheduler.Ticket{Rank: lagoonstile.RankLookups, Caller: "flood", Deadline: deadline})
	}
	quiet := &scheduler.Ticket{Rank: lagoonstile.RankLookups, Caller: "quiet", Deadline: deadline}
	queue.Arrive(epoch, quiet)
	for turn := range 2 {
		actions := queue.Release(epoch, first)
		if len(actions) != 1 {
			t.Fatalf("turn %d: %d actions, want 1", turn, len(actions))
		}
		first = actions[0].Ticket
	}
	if first != quiet {
		t.Error("the quiet caller's request did not run second")
	}
}

// BenchmarkSlopeCallers is a request's way through a queue in which so many
// callers wait.
func BenchmarkSlopeCallers(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			queue := scheduler.New(size, scheduler.DefaultShares)
			now := epoch
			arrive := func(i int) *scheduler.Ticket {
				ticket := &scheduler.Ticket{Rank: lagoonstile.RankLookups, Caller: lagoonstile.CallerID(fmt.Sprint(i)), Deadline: now.Add(time.Hour)}
				queue.Arrive(now, ticket)
				return ticket
			}
			var running []*scheduler.Ticket
			for i := range 2 * size {
				if ticket := arrive(i); i < size {
					running = append(running, ticket)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				arrive(i)
				actions := queue.Release(now, running[0])
				running = append(running[1:], actions[0].Ticket)
			}
		})
	}
}

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

// TestQueueInvariants runs random operations on a queue and compares it with a
// simple model: each ticket ends exactly once, the running tickets never exceed
// the capacity, no ticket waits while a slot is free, and the tickets of a caller
// run in the order of their arrival.
func TestQueueInvariants(t *testing.T) {
	checker.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		queue := scheduler.New(capacity, scheduler.DefaultShares)
		now := epoch
		running := map[*scheduler.Ticket]bool{}
		// waiting holds the serial number of each waiting ticket.
		waiting := map[*scheduler.Ticket]int{}
		serial := 0
		apply := func(t *rapid.T, actions []scheduler.Action) {
			for _, action := range actions {
				arrival, known := waiting[action.Ticket]
				if !known {
					t.Fatalf("decision %s on a ticket that is not waiting", action.Decision)
				}
				delete(waiting, action.Ticket)
				if action.Decision == scheduler.DecisionShed {
					continue
				}
				running[action.Ticket] = true
				for other, otherArrival := range waiting {
					if other.Rank == action.Ticket.Rank && other.Caller == action.Ticket.Caller && otherArrival < arrival {
						t.Fatalf("ticket %d ran before ticket %d, which the same caller sent earlier", arrival, otherArrival)
					}
				}
			}
		}
		anyTicket := func(tickets map[*scheduler.Ticket]bool) *scheduler.Ticket {
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
				decision, actions := queue.Submit(now, ticket)
				apply(t, actions)
				switch decision {
				case scheduler.DecisionRun:
					running[ticket] = true
				case scheduler.DecisionWait:
					waiting[ticket] = serial
				}
			},
			"release": func(t *rapid.T) {
				if ticket := anyTicket(running); ticket != nil {
					delete(running, ticket)
					apply(t, queue.Release(now, ticket))
					if len(queue.Release(now, ticket)) > 0 {
						t.Fatal("releasing a ticket a second time started or shed others")
					}
				}
			},
			"cancel": func(t *rapid.T) {
				for ticket := range waiting {
					if !queue.Cancel(ticket) {
						t.Fatal("Cancel returned false for a waiting ticket")
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
					t.Fatalf("%d tickets wait although %d slots are free", total, capacity-len(running))
				}
			},
		})
	})
}

// completion is the time at which a running ticket ends.
type completion struct {
	at     time.Time
	ticket *scheduler.Ticket
}

// completions is a heap of completions, the earliest first.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// load is the offered load of one rank: a request every interval, each with the
// given service time.
type load struct {
	rank        lagoonstile.Rank
	interval    time.Duration
	serviceTime time.Duration
}

// simulate offers loads to a queue for the given span. It returns the slot time
// that each rank used and the fraction of its offered requests that ran.
func simulate(capacity int, span time.Duration, loads []load) (map[lagoonstile.Rank]time.Duration, map[lagoonstile.Rank]float64) {
	queue := scheduler.New(capacity, scheduler.DefaultShares)
	busy := map[lagoonstile.Rank]time.Duration{}
	ran := map[lagoonstile.Rank]float64{}
	serviceTimes := map[lagoonstile.Rank]time.Duration{}
	next := make([]time.Duration, len(loads))
	for _, offered := range loads {
		serviceTimes[offered.rank] = offered.serviceTime
	}
	var pending completions
	start := func(now time.Time, ticket *scheduler.Ticket) {
		ran[ticket.Rank]++
		busy[ticket.Rank] += serviceTimes[ticket.Rank]
		heap.Push(&pending, completion{now.Add(serviceTimes[ticket.Rank]), ticket})
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
		for len(pending) > 0 && !pending[0].at.After(now) {
			end := heap.Pop(&pending).(completion)
			run(end.at, queue.Release(end.at, end.ticket))
		}
		for i, offered := range loads {
			for next[i] <= at {
				next[i] += offered.interval
				ticket := &scheduler.Ticket{Rank: offered.rank, Caller: lagoonstile.CallerID(fmt.Sprint(offered.rank, next[i]%7)), Deadline: now.Add(time.Second)}
				decision, actions := queue.Submit(now, ticket)
				run(now, actions)
				if decision == scheduler.DecisionRun {
					start(now, ticket)
				}
			}
		}
	}
	goodput := map[lagoonstile.Rank]float64{}
	for _, offered := range loads {
		goodput[offered.rank] = ran[offered.rank] / (float64(span) / float64(offered.interval))
	}
	return busy, goodput
}

// TestSharesDuringFlood checks the slot time that each rank gets while one rank is
// flooded: the ranks listed in shares get their shares to within 5%, and the
// unaffected ranks run at least 99% of their requests.
func TestSharesDuringFlood(t *testing.T) {
	const capacity = 24
	const serviceTime = 10 * time.Millisecond
	// fullLoadInterval is the interval between requests at which one rank alone would
	// use the whole capacity.
	const fullLoadInterval = serviceTime / capacity
	tests := []struct {
		name       string
		loads      []load
		shares     map[lagoonstile.Rank]float64
		unaffected []lagoonstile.Rank
	}{
		{
			"orders at 10 times the capacity",
			[]load{{lagoonstile.RankOrders, fullLoadInterval / 10, serviceTime}, {lagoonstile.RankLookups, fullLoadInterval * 2, serviceTime}, {lagoonstile.RankDownloads, fullLoadInterval * 2, serviceTime}},
			map[lagoonstile.Rank]float64{lagoonstile.RankLookups: 0.2, lagoonstile.RankDownloads: 0.1},
			nil,
		},
		{
			"downloads at 10 times the capacity",
			[]load{{lagoonstile.RankOrders, fullLoadInterval * 4, serviceTime}, {lagoonstile.RankLookups, fullLoadInterval * 4, serviceTime}, {lagoonstile.RankDownloads, fullLoadInterval / 10, serviceTime}},
			map[lagoonstile.Rank]float64{lagoonstile.RankDownloads: 0.5},
			[]lagoonstile.Rank{lagoonstile.RankOrders, lagoonstile.RankLookups},
		},
		{
			"downloads with 20 times the service time",
			[]load{{lagoonstile.RankOrders, fullLoadInterval * 4, serviceTime}, {lagoonstile.RankLookups, fullLoadInterval * 4, serviceTime}, {lagoonstile.RankDownloads, fullLoadInterval, 20 * serviceTime}},
			nil,
			[]lagoonstile.Rank{lagoonstile.RankOrders, lagoonstile.RankLookups},
		},
		{
			"an unused share goes to the other ranks",
			[]load{{lagoonstile.RankOrders, fullLoadInterval / 10, serviceTime}, {lagoonstile.RankDownloads, fullLoadInterval * 2, serviceTime}},
			map[lagoonstile.Rank]float64{lagoonstile.RankOrders: 0.9, lagoonstile.RankDownloads: 0.1},
			nil,
		},
	}
	const span = 20 * time.Second
	for _, test := range tests {
		busy, goodput := simulate(capacity, span, test.loads)
		total := float64(capacity) * float64(span)
		for rank, share := range test.shares {
			got := float64(busy[rank]) / total
			if got < share*0.95 || got > share*1.05 {
				t.Errorf("%s: %s got %.3f of the slot time, want %.3f within 5%%", test.name, rank, got, share)
			}
		}
		for _, rank := range test.unaffected {
			if goodput[rank] < 0.99 {
				t.Errorf("%s: rank %s: %.3f of the requests ran, want at least 0.99", test.name, rank, goodput[rank])
			}
		}
	}
}

// TestCallersAreServedRoundRobin checks that a flood of requests from one caller
// does not delay the request of another caller of the same rank.
func TestCallersAreServedRoundRobin(t *testing.T) {
	queue := scheduler.New(1, scheduler.DefaultShares)
	deadline := epoch.Add(time.Hour)
	first := &scheduler.Ticket{Rank: lagoonstile.RankLookups, Caller: "flood", Deadline: deadline}
	queue.Submit(epoch, first)
	for range 20 {
		queue.Submit(epoch, &scheduler.Ticket{Rank: lagoonstile.RankLookups, Caller: "flood", Deadline: deadline})
	}
	quiet := &scheduler.Ticket{Rank: lagoonstile.RankLookups, Caller: "quiet", Deadline: deadline}
	queue.Submit(epoch, quiet)
	for turn := range 2 {
		actions := queue.Release(epoch, first)
		if len(actions) != 1 {
			t.Fatalf("turn %d: %d actions, want 1", turn, len(actions))
		}
		first = actions[0].Ticket
	}
	if first != quiet {
		t.Error("the other caller's request was not the second to be started")
	}
}

// BenchmarkSlopeCallers measures the time to submit one ticket and release another
// while tickets of the given number of callers wait.
func BenchmarkSlopeCallers(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			queue := scheduler.New(size, scheduler.DefaultShares)
			now := epoch
			submit := func(i int) *scheduler.Ticket {
				ticket := &scheduler.Ticket{Rank: lagoonstile.RankLookups, Caller: lagoonstile.CallerID(fmt.Sprint(i)), Deadline: now.Add(time.Hour)}
				queue.Submit(now, ticket)
				return ticket
			}
			var running []*scheduler.Ticket
			for i := range 2 * size {
				if ticket := submit(i); i < size {
					running = append(running, ticket)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				submit(i)
				actions := queue.Release(now, running[0])
				running = append(running[1:], actions[0].Ticket)
			}
		})
	}
}

package scheduler_test

import (
	"fmt"
	"time"

	"lagoonstile"
	"lagoonstile/scheduler"
)

// With a capacity of one, an order that waits runs before a download that
// arrived earlier, because orders are the more urgent rank.
func Example() {
	now := time.Unix(0, 0)
	ticket := func(rank lagoonstile.Rank) *scheduler.Ticket {
		return &scheduler.Ticket{Rank: rank, Caller: "shop", Deadline: now.Add(time.Second)}
	}
	queue := scheduler.New(1, scheduler.DefaultShares)
	running := ticket(lagoonstile.RankLookups)
	for _, next := range []*scheduler.Ticket{running, ticket(lagoonstile.RankDownloads), ticket(lagoonstile.RankOrders)} {
		decision, _ := queue.Submit(now, next)
		fmt.Println(next.Rank, decision)
	}
	for _, action := range queue.Release(now.Add(time.Millisecond), running) {
		fmt.Println(action.Ticket.Rank, action.Decision)
	}
	// Output:
	// lookups run
	// downloads wait
	// orders wait
	// orders run
}

package measurer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonstile"
	"lagoonstile/controller"
	"lagoonstile/counter"
	"lagoonstile/ejector"
	"lagoonstile/encoder"
	"lagoonstile/gossiper"
	"lagoonstile/picker"
	"lagoonstile/router"
)

// Parameters of the instances.
const (
	// tickInterval and gossipInterval are the same as in the daemon.
	tickInterval   = 100 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
	// linkDelay is the time that a digest takes to reach a peer.
	linkDelay = time.Millisecond
	serviceID = lagoonstile.ServiceID("s")
)

// controlledInstance is an instance with the control state, picker and retry
// budget of the daemon.
type controlledInstance struct {
	sim    *Simulation
	state  *controller.State
	picker picker.TwoChoices
	// senders holds the state of the digest exchange with each peer.
	senders map[*controlledInstance]*gossiper.Sender
}

// startControlledInstances starts the instances with a configuration in force.
// They exchange digests if sharing is set.
func (sim *Simulation) startControlledInstances(sharing bool) {
	change := &lagoonstile.Change{ID: "first", Set: []*lagoonstile.Service{sim.service()}}
	data, err := encoder.Encode(lagoonstile.Record{Change: change})
	if err != nil {
		panic(err) // Encoding one of our own structs cannot fail.
	}
	page := lagoonstile.Page{Next: 1, Entries: []lagoonstile.Entry{{At: sim.Now, Data: data}}}
	var all []*controlledInstance
	for n := range instanceCount {
		c := &controlledInstance{
			sim:     sim,
			state:   controller.New(rand.New(rand.NewPCG(sim.random.Uint64(), 1))),
			picker:  picker.TwoChoices{Random: rand.New(rand.NewPCG(sim.random.Uint64(), 2))},
			senders: map[*controlledInstance]*gossiper.Sender{},
		}
		c.state.SetIdentity(sim.Now, controller.Identity{
			Instance:      lagoonstile.InstanceID(fmt.Sprintf("proxy-%02d", n)),
			Incarnation:   "i",
			FailureDomain: domainOf(n),
		})
		c.state.ApplyPage(sim.Now, page)
		all = append(all, c)
		sim.instances = append(sim.instances, c)
	}
	for n, c := range all {
		// Spread the ticks and digests of the instances over their intervals.
		sim.After(tickInterval*time.Duration(n)/instanceCount, c.tick)
		if sharing {
			sim.After(gossipInterval*time.Duration(n)/instanceCount, func() { c.gossip(all) })
		}
	}
}

// service returns the configuration of the simulated service.
func (sim *Simulation) service() *lagoonstile.Service {
	service := &lagoonstile.Service{
		ID: serviceID, Rank: lagoonstile.RankLookups, Idempotent: true,
		Floor: sim.deployment.Floor, FalseEjectionsPerWeek: sim.deployment.FalseEjectionsPerWeek,
		Deadline: deadline, RetryShare: lagoonstile.DefaultRetryShare, ConnectionsPerServer: 24,
	}
	for _, s := range sim.servers {
		service.Servers = append(service.Servers, s.config)
	}
	return service
}

func (c *controlledInstance) tick() {
	c.state.Tick(c.sim.Now)
	c.sim.After(tickInterval, c.tick)
}

// gossip sends the instance's digest to each peer to which one is due, and
// schedules the next round.
func (c *controlledInstance) gossip(all []*controlledInstance) {
	full := c.state.CompleteDigest(gossiper.Digest{})
	for _, peer := range all {
		if peer == c {
			continue
		}
		if c.senders[peer] == nil {
			c.senders[peer] = &gossiper.Sender{}
		}
		if digest, due := c.senders[peer].Next(c.sim.Now, full); due {
			c.sim.After(linkDelay, func() { peer.state.MergeDigest(c.sim.Now, digest) })
		}
	}
	c.sim.After(gossipInterval, func() { c.gossip(all) })
}

func (c *controlledInstance) entry() *router.Entry { return c.state.Table().Entry(serviceID) }

func (c *controlledInstance) pick(tried []*server) *server {
	var excluded []*picker.Target
	for _, s := range tried {
		excluded = append(excluded, s.target)
	}
	target := c.picker.Pick(c.entry().Pool, excluded)
	if target == nil {
		return nil
	}
	for _, s := range c.sim.servers {
		if s.config.ID == target.Server.ID {
			s.counters[c] = target.Live
			return s
		}
	}
	return nil
}

func (c *controlledInstance) begin(s *server) { s.counters[c].Begin() }
func (c *controlledInstance) end(s *server)   { s.counters[c].End() }
func (c *controlledInstance) observe(s *server, result counter.Result, took time.Duration) {
	s.counters[c].Observe(result, took)
}
func (c *controlledInstance) recordSuccess()           { c.entry().Budget.RecordSuccess() }
func (c *controlledInstance) takeRetry() bool          { return c.entry().Budget.Take() }
func (c *controlledInstance) slowAfter() time.Duration { return c.entry().SlowAfter }
func (c *controlledInstance) drained(s *server)        { s.counters[c].SetDraining() }

func (c *controlledInstance) uses(s *server) bool {
	for _, service := range c.state.Services() {
		state := service.Servers[s.index].State
		return state == ejector.StateInUse || state == ejector.StateWarming || state == ejector.StateHeld
	}
	return false
}

// roundRobinInstance is the baseline. It picks servers in turn and ejects a
// server for roundRobinEjection after roundRobinFailures consecutive failures.
// Its retries are not limited by a budget.
type roundRobinInstance struct {
	sim                 *Simulation
	next                int
	consecutiveFailures map[*server]int
	ejectedUntil        map[*server]time.Time
}

// Parameters of the baseline.
const (
	roundRobinFailures  = 5
	roundRobinEjection  = 30 * time.Second
	roundRobinSlowAfter = deadline
)

func (r *roundRobinInstance) pick(tried []*server) *server {
	for range r.sim.servers {
		s := r.sim.servers[r.next%len(r.sim.servers)]
		r.next++
		if r.uses(s) && !slices.Contains(tried, s) {
			return s
		}
	}
	return nil
}

func (r *roundRobinInstance) begin(*server)   {}
func (r *roundRobinInstance) end(*server)     {}
func (r *roundRobinInstance) recordSuccess()  {}
func (r *roundRobinInstance) takeRetry() bool { return true }

func (r *roundRobinInstance) observe(s *server, result counter.Result, _ time.Duration) {
	if result == counter.ResultGood {
		r.consecutiveFailures[s] = 0
		return
	}
	r.consecutiveFailures[s]++
	if r.consecutiveFailures[s] >= roundRobinFailures {
		r.ejectedUntil[s] = r.sim.Now.Add(roundRobinEjection)
		r.consecutiveFailures[s] = 0
	}
}

func (r *roundRobinInstance) slowAfter() time.Duration { return roundRobinSlowAfter }
func (r *roundRobinInstance) drained(*server)          {}
func (r *roundRobinInstance) uses(s *server) bool      { return !r.sim.Now.Before(r.ejectedUntil[s]) }

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

// Timing of the instances, as in the daemon.
const (
	tickInterval   = 100 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
	linkDelay      = time.Millisecond
	serviceID      = lagoonstile.ServiceID("s")
)

// controlled is an instance with the daemon's control state.
type controlled struct {
	world   *World
	state   *controller.State
	picker  picker.TwoChoices
	senders map[*controlled]*gossiper.Sender
}

// startControlled starts the instances with a configuration in force.
func (w *World) startControlled(sharing bool) {
	change := &lagoonstile.Change{ID: "first", Set: []*lagoonstile.Service{w.service()}}
	data, err := encoder.Encode(lagoonstile.Record{Change: change})
	if err != nil {
		panic(err) // A struct of ours that does not encode is a broken invariant.
	}
	page := lagoonstile.Page{Next: 1, Entries: []lagoonstile.Entry{{At: w.Now, Data: data}}}
	var all []*controlled
	for n := range instances {
		c := &controlled{
			world:   w,
			state:   controller.New(rand.New(rand.NewPCG(w.random.Uint64(), 1))),
			picker:  picker.TwoChoices{Random: rand.New(rand.NewPCG(w.random.Uint64(), 2))},
			senders: map[*controlled]*gossiper.Sender{},
		}
		c.state.SetIdentity(w.Now, controller.Identity{
			Instance:      lagoonstile.InstanceID(fmt.Sprintf("proxy-%02d", n)),
			Incarnation:   "i",
			FailureDomain: domainOf(n),
		})
		c.state.ApplyPage(w.Now, page)
		all = append(all, c)
		w.instances = append(w.instances, c)
	}
	for n, c := range all {
		// Instances do not tick together.
		w.After(tickInterval*time.Duration(n)/instances, c.tick)
		if sharing {
			w.After(gossipInterval*time.Duration(n)/instances, func() { c.gossip(all) })
		}
	}
}

func (w *World) service() *lagoonstile.Service {
	service := &lagoonstile.Service{
		ID: serviceID, Rank: lagoonstile.RankLookups, Idempotent: true,
		Floor: w.deployment.Floor, FalseEjectionsPerWeek: w.deployment.FalseEjectionsPerWeek,
		Deadline: deadline, RetryShare: lagoonstile.DefaultRetryShare, ConnectionsPerServer: 24,
	}
	for _, s := range w.servers {
		service.Servers = append(service.Servers, s.config)
	}
	return service
}

func (c *controlled) tick() {
	c.state.Tick(c.world.Now)
	c.world.After(tickInterval, c.tick)
}

func (c *controlled) gossip(all []*controlled) {
	whole := c.state.CompleteDigest(gossiper.Digest{})
	for _, peer := range all {
		if peer == c {
			continue
		}
		if c.senders[peer] == nil {
			c.senders[peer] = &gossiper.Sender{}
		}
		if digest, due := c.senders[peer].Next(c.world.Now, whole); due {
			c.world.After(linkDelay, func() { peer.state.MergeDigest(c.world.Now, digest) })
		}
	}
	c.world.After(gossipInterval, func() { c.gossip(all) })
}

func (c *controlled) entry() *router.Entry { return c.state.Table().Entry(serviceID) }

func (c *controlled) pick(tried []*server) *server {
	var past []*picker.Target
	for _, s := range tried {
		past = append(past, s.target)
	}
	target := c.picker.Pick(c.entry().Pool, past)
	if target == nil {
		return nil
	}
	for _, s := range c.world.servers {
		if s.config.ID == target.Server.ID {
			s.lives[c] = target.Live
			return s
		}
	}
	return nil
}

func (c *controlled) begin(s *server) { s.lives[c].Begin() }
func (c *controlled) end(s *server)   { s.lives[c].End() }
func (c *controlled) observe(s *server, result counter.Result, took time.Duration) {
	s.lives[c].Observe(result, took)
}
func (c *controlled) success()                 { c.entry().Budget.RecordSuccess() }
func (c *controlled) retry() bool              { return c.entry().Budget.Take() }
func (c *controlled) slowAfter() time.Duration { return c.entry().SlowAfter }
func (c *controlled) drained(s *server)        { s.lives[c].SetDraining() }

func (c *controlled) uses(s *server) bool {
	for _, service := range c.state.Services() {
		state := service.Servers[s.index].State
		return state == ejector.StateInUse || state == ejector.StateWarming || state == ejector.StateHeld
	}
	return false
}

// roundRobin is the baseline: the next server in turn, and a server is left out
// for a while after five failures in a row.
type roundRobin struct {
	world    *World
	next     int
	failures map[*server]int
	until    map[*server]time.Time
}

// Parameters of the baseline.
const (
	failuresInARow  = 5
	roundRobinAway  = 30 * time.Second
	roundRobinLimit = deadline
)

func (r *roundRobin) pick(tried []*server) *server {
	for range r.world.servers {
		s := r.world.servers[r.next%len(r.world.servers)]
		r.next++
		if r.uses(s) && !slices.Contains(tried, s) {
			return s
		}
	}
	return nil
}

func (r *roundRobin) begin(*server) {}
func (r *roundRobin) end(*server)   {}
func (r *roundRobin) success()      {}
func (r *roundRobin) retry() bool   { return true }

func (r *roundRobin) observe(s *server, result counter.Result, _ time.Duration) {
	if result == counter.ResultGood {
		r.failures[s] = 0
		return
	}
	r.failures[s]++
	if r.failures[s] >= failuresInARow {
		r.until[s] = r.world.Now.Add(roundRobinAway)
		r.failures[s] = 0
	}
}

func (r *roundRobin) slowAfter() time.Duration { return roundRobinLimit }
func (r *roundRobin) drained(*server)          {}
func (r *roundRobin) uses(s *server) bool      { return !r.world.Now.Before(r.until[s]) }

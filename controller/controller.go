// Package controller holds the control state of one instance: the
// configuration in force, what is known of servers and peers, and what follows
// for traffic.
//
// The state belongs to one goroutine. It takes events (a page of the log, the
// instance list, a peer's digest, the passing of time) and is otherwise pure: no
// clocks, no sockets, no goroutines. After each event it may have a new table
// for traffic goroutines, who read it through an atomic pointer and hand their
// observations back as counts. A slow control loop so never delays a request.
package controller

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonstile"
	"lagoonstile/auditor"
	"lagoonstile/configurer"
	"lagoonstile/detector"
	"lagoonstile/ejector"
	"lagoonstile/gossiper"
	"lagoonstile/router"
)

// Identity is what an instance is and says of itself.
type Identity struct {
	Instance      lagoonstile.InstanceID
	Incarnation   lagoonstile.Incarnation
	FailureDomain lagoonstile.FailureDomain
	CallerAddress string
	PeerAddress   string
}

// snapshotShare is the share of the log's retention after which the newest
// snapshot is due to be renewed.
const snapshotShare = 3

// State is the control state of one instance. It is not safe for concurrent
// use.
type State struct {
	self   Identity
	random *rand.Rand

	fold configurer.Fold
	// caughtUp says that the log was read up to the tail that it had at the
	// start, or that a peer's version was taken.
	caughtUp  bool
	startTail lagoonstile.Offset
	tailKnown bool
	// renewAt is when a snapshot is due; zero when the retention is unknown.
	renewAt time.Time

	services map[lagoonstile.ServiceID]*service
	// order lists the services by id.
	order []*service
	// byKey finds a server by its key. Servers whose keys are equal are not in
	// it: nothing is told of them, and nothing heard.
	byKey map[gossiper.Key]serverRef

	view      gossiper.View
	members   map[lagoonstile.InstanceID]lagoonstile.Instance
	leaving   bool
	audit     auditor.Queue
	published lagoonstile.Version
	table     *router.Table
	// dirty says that the table no longer shows the state.
	dirty bool
}

// serverRef names a server over all services.
type serverRef struct {
	service lagoonstile.ServiceID
	server  lagoonstile.ServerID
}

// New returns the state of an instance that knows nothing yet.
func New(random *rand.Rand) *State {
	return &State{
		random:   random,
		services: make(map[lagoonstile.ServiceID]*service),
		members:  make(map[lagoonstile.InstanceID]lagoonstile.Instance),
	}
}

// Table returns the table for traffic, or nil while nothing is in force.
func (s *State) Table() *router.Table { return s.table }

// Version returns the version in force.
func (s *State) Version() lagoonstile.Version { return s.fold.Configuration().Version }

// Next returns the offset to read the configuration stream from.
func (s *State) Next() lagoonstile.Offset { return s.fold.Next() }

// CaughtUp reports whether the log was read up to the tail that it had at the
// start, or a peer's configuration was taken.
func (s *State) CaughtUp() bool { return s.caughtUp }

// Blind reports whether the state waits for a snapshot.
func (s *State) Blind() bool { return s.fold.Blind() }

// Audit returns the queue of events.
func (s *State) Audit() *auditor.Queue { return &s.audit }

// SetSelf settles who the instance is, once its listeners have addresses. It
// must be called before any event.
func (s *State) SetSelf(now time.Time, self Identity) {
	s.self = self
	s.audit.Add(auditor.Event{At: now, Instance: self.Instance, Kind: auditor.KindStarted, Detail: "incarnation=" + string(self.Incarnation)})
}

// SetLeaving notes that this instance is leaving.
func (s *State) SetLeaving() { s.leaving = true }

// Page folds one page of the configuration stream.
func (s *State) Page(now time.Time, page lagoonstile.Page) {
	if !s.tailKnown {
		s.startTail, s.tailKnown = page.Next, true
	}
	s.fold.Skip(page.First)
	for _, entry := range page.Entries {
		out := s.fold.Entry(entry)
		if out.Verdict == configurer.VerdictAhead {
			break
		}
		s.note(now, out)
		s.watchSnapshots(entry.At, out, page.Retention)
	}
	if s.renewAt.IsZero() && page.Retention > 0 && s.Version() > 0 {
		s.renewAt = now.Add(s.jitter(page.Retention / snapshotShare))
	}
	if s.fold.Next() >= s.startTail && !s.fold.Blind() {
		s.caughtUp = true
	}
	s.publish(now)
}

// watchSnapshots puts the next renewal off whenever a snapshot that is not
// older than the version in force was seen.
func (s *State) watchSnapshots(at time.Time, out configurer.Outcome, retention time.Duration) {
	if retention > 0 && out.Snapshot > 0 && out.Snapshot >= s.Version() {
		s.renewAt = at.Add(s.jitter(retention / snapshotShare))
	}
}

// jitter returns a span from d to one and a half times d, so that not every
// instance renews at once.
func (s *State) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.random.Int64N(int64(d)/2+1))
}

// Renewal returns the snapshot that is due to be appended, if any. The next one
// is due later, whatever becomes of this one.
func (s *State) Renewal(now time.Time, retention time.Duration) (*lagoonstile.Snapshot, bool) {
	if s.renewAt.IsZero() || now.Before(s.renewAt) {
		return nil, false
	}
	s.renewAt = now.Add(s.jitter(retention / snapshotShare / 4))
	return s.fold.Snapshot()
}

// Snapshot returns the configuration in force for peers.
func (s *State) Snapshot() (*lagoonstile.Snapshot, bool) { return s.fold.Snapshot() }

// Adopt takes a configuration from a peer if it is newer.
func (s *State) Adopt(now time.Time, snapshot *lagoonstile.Snapshot) {
	if out := s.fold.Adopt(snapshot); out.Verdict == configurer.VerdictAdopted {
		s.caughtUp = true
		s.publish(now)
	}
}

// note puts what a record did into the audit trail.
func (s *State) note(now time.Time, out configurer.Outcome) {
	event := auditor.Event{At: now, Instance: s.self.Instance, Change: out.Change.ID, Author: out.Change.Author, Version: s.Version()}
	switch out.Verdict {
	case configurer.VerdictStaleBase:
		event.Kind = auditor.KindRefused
		event.Detail = fmt.Sprintf("stale base; change %s of %s made version %d", out.Winner.ID, out.Winner.Author, out.Winner.Version)
	case configurer.VerdictInvalid:
		event.Kind = auditor.KindRefused
		event.Detail = out.Err.Error()
	case configurer.VerdictInForce:
		event.Kind = auditor.KindInForce
	default:
		return
	}
	if s.caughtUp {
		s.audit.Add(event)
	}
}

// Instances takes in the instance list.
func (s *State) Instances(list []lagoonstile.Instance) {
	s.members = make(map[lagoonstile.InstanceID]lagoonstile.Instance, len(list))
	for _, instance := range list {
		s.members[instance.ID] = instance
	}
}

// Members returns the other instances of the list.
func (s *State) Members() []lagoonstile.Instance {
	var members []lagoonstile.Instance
	for _, instance := range s.members {
		if instance.ID != s.self.Instance {
			members = append(members, instance)
		}
	}
	return members
}

// Digest takes in what a peer says.
func (s *State) Digest(now time.Time, digest gossiper.Digest) {
	if digest.Origin == s.self.Instance {
		return
	}
	for _, delta := range s.view.Merge(now, digest) {
		ref, ok := s.byKey[delta.Key]
		if !ok {
			continue
		}
		evidence := detector.Evidence{Good: delta.Good, Bad: delta.Bad}
		s.services[ref.service].detector.Observe(ref.server, delta.Origin, evidence)
	}
}

// PeerVersion returns the version that a peer last said.
func (s *State) PeerVersion(id lagoonstile.InstanceID) lagoonstile.Version { return s.view.Version(id) }

// Heard reports whether a peer was heard of lately.
func (s *State) Heard(now time.Time, id lagoonstile.InstanceID) bool { return s.view.Heard(now, id) }

// Peers returns the live peers.
func (s *State) Peers(now time.Time) []*gossiper.Peer { return s.view.Alive(now) }

// Own fills in what this instance says of itself and of servers.
func (s *State) Own(digest gossiper.Digest) gossiper.Digest {
	digest.Origin = s.self.Instance
	digest.Incarnation = s.self.Incarnation
	digest.Version = s.Version()
	digest.Leaving = s.leaving
	digest.CallerAddress = s.self.CallerAddress
	digest.FailureDomain = s.self.FailureDomain
	for _, service := range s.order {
		for _, server := range service.order {
			report := server.report()
			if s.byKey[server.key] != (serverRef{}) && report != (gossiper.Report{Key: server.key}) {
				digest.Reports = append(digest.Reports, report)
			}
		}
		if service.poor() {
			digest.Poor = append(digest.Poor, gossiper.ServiceKey(service.rules.ID))
		}
	}
	return digest
}

// Tick reads the counts of traffic and decides anew.
func (s *State) Tick(now time.Time) {
	around := s.view.Around(now)
	for _, service := range s.order {
		if s.tickService(now, service, around) {
			s.dirty = true
		}
	}
	if s.dirty {
		s.publish(now)
	}
}

func (s *State) tickService(now time.Time, service *service, around map[gossiper.Key]gossiper.Around) bool {
	notices := make(map[lagoonstile.ServerID]ejector.Notice)
	for _, server := range service.order {
		peers := around[server.key]
		notices[server.target.Server.ID] = ejector.Notice{
			Draining:    server.target.Live.Draining() || peers.Draining,
			PeerEjected: peers.Ejected,
		}
	}
	for _, cut := range service.observe(now, s.self.Instance) {
		s.audit.Add(auditor.Event{
			At: now, Instance: s.self.Instance, Kind: auditor.KindLimitChanged, Service: service.rules.ID, Server: cut.server,
			Version: s.Version(), Detail: fmt.Sprintf("limit=%d shed=%d", cut.limit, cut.shed),
		})
	}
	changed, changes := service.tick(now, notices)
	for _, change := range changes {
		s.audit.Add(s.event(now, service, change))
	}
	return changed
}

// publish makes a new table if there is something to be in force.
func (s *State) publish(now time.Time) {
	if !s.caughtUp {
		return
	}
	cfg := s.fold.Configuration()
	if cfg.Version == 0 {
		return
	}
	if cfg.Version != s.published {
		s.reconcile(now, cfg)
		s.published = cfg.Version
	}
	entries := make([]*router.Entry, 0, len(s.order))
	for _, service := range s.order {
		entries = append(entries, service.entry)
	}
	s.table = router.New(cfg.Version, entries)
	s.dirty = false
}

// reconcile brings the services in line with a configuration. Those that stay
// keep their gate, budget and what is known of their servers.
func (s *State) reconcile(now time.Time, cfg lagoonstile.Configuration) {
	kept := make(map[lagoonstile.ServiceID]*service, len(cfg.Services))
	s.order = s.order[:0]
	s.byKey = make(map[gossiper.Key]serverRef)
	equal := make(map[gossiper.Key]bool)
	for _, id := range cfg.IDs() {
		next := s.services[id]
		if next == nil {
			next = newService(s.self.Instance)
		}
		next.configure(now, cfg.Services[id], s.self.FailureDomain)
		kept[id] = next
		s.order = append(s.order, next)
		for _, server := range next.order {
			equal[server.key] = equal[server.key] || s.byKey[server.key] != (serverRef{})
			s.byKey[server.key] = serverRef{id, server.target.Server.ID}
		}
	}
	for key, is := range equal {
		if is {
			delete(s.byKey, key)
		}
	}
	s.services = kept
}

// event describes a server's transition for the audit trail.
func (s *State) event(now time.Time, service *service, change ejector.Change) auditor.Event {
	finding := change.Finding
	return auditor.Event{
		At:       now,
		Instance: s.self.Instance,
		Kind:     kindOf(change),
		Service:  service.rules.ID,
		Server:   change.Server,
		Version:  s.Version(),
		Detail: fmt.Sprintf("from=%s to=%s score=%.1f threshold=%.1f bad=%d good=%d origins=%d link-failures=%d baseline=%.4f back-off=%s",
			change.From, change.To, finding.Score, finding.Threshold, finding.Bad, finding.Good, finding.Origins,
			finding.LinkFailures, finding.Baseline, change.BackOff),
	}
}

func kindOf(change ejector.Change) auditor.Kind {
	switch change.To {
	case ejector.StateEjected:
		return auditor.KindEjected
	case ejector.StateSteered:
		return auditor.KindSteered
	case ejector.StateHeld:
		return auditor.KindHeld
	case ejector.StateTrial:
		return auditor.KindTrial
	case ejector.StateLeaving:
		return auditor.KindLeaving
	}
	return auditor.KindReadmitted
}

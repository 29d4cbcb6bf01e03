// Package controller holds the control state of one instance: the
// configuration in force, the state of servers and peers, and the routing table
// that is computed from them.
//
// The state is owned by a single goroutine. It handles events (a page of the
// log, the instance list, a peer's digest, a tick) and uses no clocks, sockets
// or goroutines of its own. An event may produce a new routing table. Traffic
// goroutines read the table through an atomic pointer and report their
// observations through counters, so a slow control loop never delays a request.
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

// Identity holds the attributes by which an instance identifies itself to the
// rest of the fleet.
type Identity struct {
	Instance      lagoonstile.InstanceID
	Incarnation   lagoonstile.Incarnation
	FailureDomain lagoonstile.FailureDomain
	CallerAddress string
	PeerAddress   string
}

// The newest snapshot is renewed after the log's retention divided by
// snapshotRenewalDivisor, plus jitter.
const snapshotRenewalDivisor = 3

// State is the control state of one instance. It is not safe for concurrent
// use.
type State struct {
	self   Identity
	random *rand.Rand

	replica configurer.Replica
	// caughtUp is set once the log has been read up to startTail without a gap, or
	// a peer's configuration was adopted. startTail is the end of the log at the
	// first read, and tailKnown is set after that read.
	caughtUp  bool
	startTail lagoonstile.Offset
	tailKnown bool
	// snapshotDueAt is when the next snapshot is due. It is zero until a
	// configuration is in force and the retention is known.
	snapshotDueAt time.Time

	services map[lagoonstile.ServiceID]*service
	// order lists the services by id.
	order []*service
	// byKey finds a server by its key. Servers with colliding keys are left out,
	// so no reports about them are sent or accepted.
	byKey map[gossiper.Key]serverRef

	view gossiper.View
	// members is the instance list. It may include this instance.
	members map[lagoonstile.InstanceID]lagoonstile.Instance
	leaving bool
	audit   auditor.Queue
	// reconciled is the version that the services were last reconciled with.
	reconciled lagoonstile.Version
	table      *router.Table
	// dirty is set when the table is out of date.
	dirty bool
}

// serverRef identifies a server across all services.
type serverRef struct {
	service lagoonstile.ServiceID
	server  lagoonstile.ServerID
}

// New returns an empty state. The random source is used for jitter.
func New(random *rand.Rand) *State {
	return &State{
		random:   random,
		services: make(map[lagoonstile.ServiceID]*service),
		members:  make(map[lagoonstile.InstanceID]lagoonstile.Instance),
	}
}

// Table returns the routing table. It is nil until the state has caught up and a
// configuration is in force.
func (s *State) Table() *router.Table { return s.table }

// Accounts returns the client accounts in force.
func (s *State) Accounts() []lagoonstile.Account { return s.replica.Configuration().Accounts }

// Version returns the version in force.
func (s *State) Version() lagoonstile.Version { return s.replica.Configuration().Version }

// NextOffset returns the offset to read the configuration stream from.
func (s *State) NextOffset() lagoonstile.Offset { return s.replica.Next() }

// CaughtUp reports whether the log has been read without a gap up to the end that
// it had at the first read, or a peer's configuration was adopted.
func (s *State) CaughtUp() bool { return s.caughtUp }

// HasGap reports whether records expired before they were read, so that changes
// are ignored until a snapshot arrives.
func (s *State) HasGap() bool { return s.replica.HasGap() }

// AuditQueue returns the queue of audit events.
func (s *State) AuditQueue() *auditor.Queue { return &s.audit }

// SetIdentity sets the identity of the instance, which is known once its
// listeners have addresses. It must be called before any event is handled.
func (s *State) SetIdentity(now time.Time, self Identity) {
	s.self = self
	s.audit.Add(auditor.Event{At: now, Instance: self.Instance, Kind: auditor.KindStarted, Detail: "incarnation=" + string(self.Incarnation)})
}

// SetLeaving marks this instance as leaving in the digests that it sends.
func (s *State) SetLeaving() { s.leaving = true }

// ApplyPage applies one page of the configuration stream.
func (s *State) ApplyPage(now time.Time, page lagoonstile.Page) {
	if !s.tailKnown {
		s.startTail, s.tailKnown = page.Next, true
	}
	s.replica.SkipTo(page.First)
	for _, entry := range page.Entries {
		out := s.replica.Apply(entry)
		if out.Verdict == configurer.VerdictAhead {
			break
		}
		s.auditOutcome(now, out)
		s.postponeRenewal(entry.At, out, page.Retention)
	}
	if s.snapshotDueAt.IsZero() && page.Retention > 0 && s.Version() > 0 {
		s.snapshotDueAt = now.Add(s.jitter(page.Retention / snapshotRenewalDivisor))
	}
	if s.replica.Next() >= s.startTail && !s.replica.HasGap() {
		s.caughtUp = true
	}
	s.rebuildTable(now)
}

// postponeRenewal reschedules the next snapshot if the record that was read is a
// snapshot that is not older than the version in force.
func (s *State) postponeRenewal(at time.Time, out configurer.Outcome, retention time.Duration) {
	if retention > 0 && out.Snapshot > 0 && out.Snapshot >= s.Version() {
		s.snapshotDueAt = at.Add(s.jitter(retention / snapshotRenewalDivisor))
	}
}

// jitter returns a random duration between d and 1.5 d, so that instances do not
// all renew the snapshot at the same time.
func (s *State) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.random.Int64N(int64(d)/2+1))
}

// DueSnapshot returns the snapshot to append to the log, if one is due. It also
// schedules the next attempt, whether or not the caller succeeds in appending
// this one.
func (s *State) DueSnapshot(now time.Time, retention time.Duration) (*lagoonstile.Snapshot, bool) {
	if s.snapshotDueAt.IsZero() || now.Before(s.snapshotDueAt) {
		return nil, false
	}
	s.snapshotDueAt = now.Add(s.jitter(retention / snapshotRenewalDivisor / 4))
	return s.replica.Snapshot()
}

// Snapshot returns the configuration in force, to be offered to peers. The
// result is false if there is none.
func (s *State) Snapshot() (*lagoonstile.Snapshot, bool) { return s.replica.Snapshot() }

// Adopt replaces the configuration in force with a peer's snapshot if the
// snapshot is newer or closes a gap in the stream.
func (s *State) Adopt(now time.Time, snapshot *lagoonstile.Snapshot) {
	if out := s.replica.Adopt(snapshot); out.Verdict == configurer.VerdictAdopted {
		s.caughtUp = true
		s.rebuildTable(now)
	}
}

// auditOutcome records the effect of a log record in the audit trail. Records
// read before the state has caught up are not audited.
func (s *State) auditOutcome(now time.Time, out configurer.Outcome) {
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

// SetInstances replaces the instance list.
func (s *State) SetInstances(list []lagoonstile.Instance) {
	s.members = make(map[lagoonstile.InstanceID]lagoonstile.Instance, len(list))
	for _, instance := range list {
		s.members[instance.ID] = instance
	}
}

// Members returns the other instances on the instance list, in no particular
// order.
func (s *State) Members() []lagoonstile.Instance {
	var members []lagoonstile.Instance
	for _, instance := range s.members {
		if instance.ID != s.self.Instance {
			members = append(members, instance)
		}
	}
	return members
}

// MergeDigest merges a peer's digest and passes its new evidence to the
// detectors. Digests from this instance are ignored.
func (s *State) MergeDigest(now time.Time, digest gossiper.Digest) {
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

// PeerVersion returns the configuration version that a peer last reported, or 0.
func (s *State) PeerVersion(id lagoonstile.InstanceID) lagoonstile.Version { return s.view.Version(id) }

// PeerAlive reports whether a peer is alive, that is, whether its last digest is
// not older than gossiper.PeerTimeout.
func (s *State) PeerAlive(now time.Time, id lagoonstile.InstanceID) bool {
	return s.view.IsAlive(now, id)
}

// Peers returns the live peers, sorted by id.
func (s *State) Peers(now time.Time) []*gossiper.Peer { return s.view.AlivePeers(now) }

// CompleteDigest adds this instance's identity, configuration version, reports on
// servers and degraded services to a digest.
func (s *State) CompleteDigest(digest gossiper.Digest) gossiper.Digest {
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
		if service.degraded() {
			digest.Degraded = append(digest.Degraded, gossiper.ServiceKey(service.rules.ID))
		}
	}
	return digest
}

// Tick reads the traffic counters, updates the state of every server and
// rebuilds the table if anything changed.
func (s *State) Tick(now time.Time) {
	flags := s.view.Flags(now)
	for _, service := range s.order {
		if s.tickService(now, service, flags) {
			s.dirty = true
		}
	}
	if s.dirty {
		s.rebuildTable(now)
	}
}

func (s *State) tickService(now time.Time, service *service, flags map[gossiper.Key]gossiper.PeerFlags) bool {
	notices := make(map[lagoonstile.ServerID]ejector.Notice)
	for _, server := range service.order {
		peerFlags := flags[server.key]
		notices[server.target.Server.ID] = ejector.Notice{
			Draining:    server.target.Live.Draining() || peerFlags.Draining,
			PeerEjected: peerFlags.Ejected,
		}
	}
	for _, cut := range service.observe(now, s.self.Instance) {
		s.audit.Add(auditor.Event{
			At: now, Instance: s.self.Instance, Kind: auditor.KindLimitChanged, Service: service.rules.ID, Server: cut.server,
			Version: s.Version(), Detail: fmt.Sprintf("limit=%d shed=%d", cut.limit, cut.shed),
		})
	}
	changed, transitions := service.tick(now, notices)
	for _, transition := range transitions {
		s.audit.Add(s.transitionEvent(now, service, transition))
	}
	return changed
}

// rebuildTable builds a new table, provided that the state has caught up and a
// configuration is in force.
func (s *State) rebuildTable(now time.Time) {
	if !s.caughtUp {
		return
	}
	cfg := s.replica.Configuration()
	if cfg.Version == 0 {
		return
	}
	if cfg.Version != s.reconciled {
		s.reconcile(now, cfg)
		s.reconciled = cfg.Version
	}
	entries := make([]*router.Entry, 0, len(s.order))
	for _, service := range s.order {
		entries = append(entries, service.entry)
	}
	s.table = router.New(cfg.Version, entries, cfg.Accounts)
	s.dirty = false
}

// reconcile adds, updates and removes services to match a configuration.
// Services that remain keep their gate, their retry budget and the state of
// their servers.
func (s *State) reconcile(now time.Time, cfg lagoonstile.Configuration) {
	kept := make(map[lagoonstile.ServiceID]*service, len(cfg.Services))
	s.order = s.order[:0]
	s.byKey = make(map[gossiper.Key]serverRef)
	collides := make(map[gossiper.Key]bool)
	for _, id := range cfg.IDs() {
		next := s.services[id]
		if next == nil {
			next = newService(s.self.Instance)
		}
		next.configure(now, cfg.Services[id], s.self.FailureDomain)
		kept[id] = next
		s.order = append(s.order, next)
		for _, server := range next.order {
			collides[server.key] = collides[server.key] || s.byKey[server.key] != (serverRef{})
			s.byKey[server.key] = serverRef{id, server.target.Server.ID}
		}
	}
	for key, collision := range collides {
		if collision {
			delete(s.byKey, key)
		}
	}
	s.services = kept
}

// transitionEvent returns the audit event for a state transition of a server.
func (s *State) transitionEvent(now time.Time, service *service, transition ejector.Transition) auditor.Event {
	finding := transition.Finding
	return auditor.Event{
		At:       now,
		Instance: s.self.Instance,
		Kind:     eventKind(transition),
		Service:  service.rules.ID,
		Server:   transition.Server,
		Version:  s.Version(),
		Detail: fmt.Sprintf("from=%s to=%s score=%.1f threshold=%.1f bad=%d good=%d origins=%d link-failures=%d baseline=%.4f back-off=%s",
			transition.From, transition.To, finding.Score, finding.Threshold, finding.Bad, finding.Good, finding.Origins,
			finding.LinkFailures, finding.Baseline, transition.BackOff),
	}
}

func eventKind(transition ejector.Transition) auditor.Kind {
	switch transition.To {
	case ejector.StateEjected:
		return auditor.KindEjected
	case ejector.StateSteered:
		return auditor.KindSteered
	case ejector.StateHeld:
		return auditor.KindHeldAtFloor
	case ejector.StateTrial:
		return auditor.KindTrial
	case ejector.StateDraining:
		return auditor.KindServerDraining
	}
	return auditor.KindReadmitted
}

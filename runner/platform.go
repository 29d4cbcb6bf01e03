package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"lagoonstile"
	"lagoonstile/auditor"
	"lagoonstile/controller"
	"lagoonstile/encoder"
)

// Timing of the exchange with the platform.
const (
	readWait          = 2 * time.Second
	leastPause        = 200 * time.Millisecond
	mostPause         = 5 * time.Second
	instancesInterval = time.Second
	auditInterval     = time.Second
)

// pause grows with each failure in a row and is drawn at random below its
// bound, so that a fleet does not come back all at once.
type pause struct{ bound time.Duration }

func (p *pause) next() time.Duration {
	p.bound = min(max(2*p.bound, leastPause), mostPause)
	return p.bound/2 + time.Duration(rand.Int64N(int64(p.bound/2)))
}

func (p *pause) reset() { p.bound = 0 }

// readLog follows the configuration stream for as long as the instance runs.
func (i *Instance) readLog(ctx context.Context) {
	var failing pause
	from := lagoonstile.Offset(0)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := i.platformLog.Read(ctx, lagoonstile.StreamConfiguration, from, wait)
		if err != nil {
			if ctx.Err() == nil {
				i.log.Warn("log-unavailable", "from", from, "cause", err)
			}
			sleep(ctx, failing.next())
			continue
		}
		failing.reset()
		var renewal *lagoonstile.Snapshot
		i.control.ask(func(now time.Time, state *controller.State) {
			state.ApplyPage(now, page)
			from = state.NextOffset()
			renewal, _ = state.DueSnapshot(now, page.Retention)
		})
		i.renew(ctx, renewal)
		wait = readWait
		if from < page.Next && len(page.Entries) > 0 {
			wait = 0
		}
	}
}

// renew appends a snapshot before the last one expires. A failure is left to
// the next renewal or to another instance.
func (i *Instance) renew(ctx context.Context, snapshot *lagoonstile.Snapshot) {
	if snapshot == nil {
		return
	}
	data, err := encoder.Encode(lagoonstile.Record{Snapshot: snapshot})
	if err != nil {
		i.log.Error("snapshot-not-encoded", "cause", err)
		return
	}
	if _, err := i.platformLog.Append(ctx, lagoonstile.StreamConfiguration, data); err != nil {
		i.log.Warn("snapshot-not-appended", "version", snapshot.Configuration.Version, "cause", err)
		return
	}
	i.log.Info("snapshot-appended", "version", snapshot.Configuration.Version)
}

// readInstances follows the instance list.
func (i *Instance) readInstances(ctx context.Context) {
	for {
		list, err := i.instanceList.Instances(ctx)
		if err == nil {
			i.control.send(func(_ time.Time, state *controller.State) { state.SetInstances(list) })
		} else if ctx.Err() == nil {
			i.log.Warn("instance-list-unavailable", "cause", err)
		}
		if !sleep(ctx, instancesInterval) {
			return
		}
	}
}

// writeAudit takes the audit trail to the log.
func (i *Instance) writeAudit(ctx context.Context) {
	for sleep(ctx, auditInterval) {
		i.writeAuditOnce(ctx)
	}
}

func (i *Instance) writeAuditOnce(ctx context.Context) {
	var batch auditor.Batch
	var ok bool
	i.control.ask(func(now time.Time, state *controller.State) {
		batch, ok = state.AuditQueue().Next(now, i.self.Instance)
	})
	if !ok {
		return
	}
	data, err := encoder.Encode(batch)
	if err != nil {
		i.log.Error("audit-not-encoded", "cause", err)
		return
	}
	if _, err := i.platformLog.Append(ctx, lagoonstile.StreamAudit, data); err != nil {
		i.log.Warn("audit-not-appended", "events", len(batch.Events), "cause", err)
		return
	}
	i.control.send(func(_ time.Time, state *controller.State) { state.AuditQueue().Done(batch) })
}

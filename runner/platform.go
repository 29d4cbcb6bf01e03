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
	// readWait is how long a read of the log waits for new records.
	readWait             = 2 * time.Second
	minBackoff           = 200 * time.Millisecond
	maxBackoff           = 5 * time.Second
	instanceListInterval = time.Second
	auditInterval        = time.Second
)

// backoff computes exponential delays between retries. The delays are random, so
// that the instances of a fleet do not all retry at the same time.
type backoff struct{ bound time.Duration }

// next doubles the bound and returns a random delay between half the bound and
// the bound.
func (b *backoff) next() time.Duration {
	b.bound = min(max(2*b.bound, minBackoff), maxBackoff)
	return b.bound/2 + time.Duration(rand.Int64N(int64(b.bound/2)))
}

func (b *backoff) reset() { b.bound = 0 }

// readLog reads the configuration stream until the context ends.
func (i *Instance) readLog(ctx context.Context) {
	var retry backoff
	from := lagoonstile.Offset(0)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := i.platformLog.Read(ctx, lagoonstile.StreamConfiguration, from, wait)
		if err != nil {
			if ctx.Err() == nil {
				i.log.Warn("log-unavailable", "from", from, "cause", err)
			}
			sleep(ctx, retry.next())
			continue
		}
		retry.reset()
		var snapshot *lagoonstile.Snapshot
		i.control.sendAndWait(func(now time.Time, state *controller.State) {
			state.ApplyPage(now, page)
			from = state.NextOffset()
			snapshot, _ = state.DueSnapshot(now, page.Retention)
		})
		i.appendSnapshot(ctx, snapshot)
		wait = readWait
		if from < page.Next && len(page.Entries) > 0 {
			wait = 0
		}
	}
}

// appendSnapshot appends a snapshot to the configuration stream, unless it is
// nil, so that the stream has a snapshot when the previous one expires. It does
// not retry: the next snapshot that is due, here or on another instance, makes up
// for a failure.
func (i *Instance) appendSnapshot(ctx context.Context, snapshot *lagoonstile.Snapshot) {
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

// readInstances reads the instance list periodically until the context ends.
func (i *Instance) readInstances(ctx context.Context) {
	for {
		list, err := i.instanceList.Instances(ctx)
		if err == nil {
			i.control.send(func(_ time.Time, state *controller.State) { state.SetInstances(list) })
			i.quotas.setMembers(membersOf(list))
		} else if ctx.Err() == nil {
			i.log.Warn("instance-list-unavailable", "cause", err)
		}
		if !sleep(ctx, instanceListInterval) {
			return
		}
	}
}

// writeAudit writes the audit trail to the log until the context ends.
func (i *Instance) writeAudit(ctx context.Context) {
	for sleep(ctx, auditInterval) {
		i.writeAuditOnce(ctx)
	}
}

// writeAuditOnce appends at most one batch of audit events to the log. If that
// fails, the events stay in the queue.
func (i *Instance) writeAuditOnce(ctx context.Context) {
	var batch auditor.Batch
	var ok bool
	i.control.sendAndWait(func(now time.Time, state *controller.State) {
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

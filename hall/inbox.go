package hall

import (
	"context"
	"time"

	"chutereach/job"
	"chutereach/provider"
	"chutereach/timeline"
)

// NotifyInbox makes the unit read its inbox soon. It is only a hint: the inbox is also
// read every Settings.InboxInterval.
func (u *Unit) NotifyInbox() { notify(u.inboxSignal) }

// inboxLoop moves submitted jobs from the unit's inbox, to which any box can write,
// to the unit.
func (u *Unit) inboxLoop() {
	for u.ctx.Err() == nil {
		n, err := u.readInbox()
		if err != nil {
			u.log.Warn().Err(err).Msg("failed to read the inbox, retrying")
		}
		if n == inboxPageSize {
			continue // the inbox may hold more rows
		}
		t := time.NewTimer(u.settings.InboxInterval)
		select {
		case <-u.ctx.Done():
		case <-u.inboxSignal:
		case <-t.C:
		}
		t.Stop()
	}
}

const inboxPageSize = 200

// readInbox processes one page of the inbox and returns its number of rows.
func (u *Unit) readInbox() (int, error) {
	page, err := u.deps.Sender.Table().Range(u.ctx, job.InboxPrefix(u.assignment.Unit), "", inboxPageSize)
	if err != nil {
		return 0, err
	}
	accepted := 0
	for _, row := range page {
		if u.acceptRow(row) {
			accepted++
		}
	}
	if len(page) == inboxPageSize && accepted == 0 {
		u.sleep(u.settings.InboxInterval / 10) // the removal of these rows is not committed yet
	}
	return len(page), nil
}

// acceptRow adds the job of an inbox row to the unit. One transaction writes the job
// row and removes the inbox row; the job is queued after its commit. It reports
// whether the job was new.
func (u *Unit) acceptRow(row provider.Row) (accepted bool) {
	j, err := job.Decode(row.Value)
	if err != nil || j.ID.Unit() != u.assignment.Unit {
		u.log.Error().Err(err).Str("row", row.Key).Msg("ignoring inbox row: not a valid job of this unit")
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if known := u.jobs[j.ID]; known != nil {
		u.removeDuplicate(known, row)
		return false
	}
	s := u.addJob(j, 0)
	s.inboxVersion, s.rowPending = row.Version, true
	u.writeRows(change{
		writes: []rowWrite{
			{key: j.Key(), value: row.Value},
			{key: row.Key, version: row.Version, remove: true},
		},
		onCommit: func(version uint64) {
			u.jobRowCommitted(s, version)
			u.recordEvent(timeline.Event{Kind: timeline.JobAccepted, Job: string(j.ID), Account: j.Account})
			u.enqueueWaitingTasks(s)
		},
	})
	return true
}

// removeDuplicate removes the inbox row of a job that has already been accepted. Such
// a row appears when a box got no response to its insert and retries it after the
// row was moved. The caller holds u.mu.
func (u *Unit) removeDuplicate(j *jobState, row provider.Row) {
	if j.inboxVersion == row.Version {
		return // removal pending, or removed since the inbox was read
	}
	j.inboxVersion = row.Version
	u.writeRows(change{writes: []rowWrite{{key: row.Key, version: row.Version, remove: true}}})
}

// ReadJobRow reads the row of a job from the table: that of the accepted job, or else
// that in the inbox. It returns a JobNotFoundError if there is neither.
//
// The inbox is read first. Jobs move only from the inbox to the unit, so a job that
// moves between the two reads is found by the second one.
func ReadJobRow(ctx context.Context, table provider.Table, id job.ID) (provider.Row, error) {
	submitted, err := table.Get(ctx, job.InboxKey(id))
	if err != nil {
		return provider.Row{}, err
	}
	accepted, err := table.Get(ctx, job.Key(id))
	switch {
	case err != nil:
		return provider.Row{}, err
	case accepted.Exists():
		return accepted, nil
	case submitted.Exists():
		return submitted, nil
	}
	return provider.Row{}, &JobNotFoundError{id}
}

// maxPurgedRows is the number of rows after which purge leaves the rest to its next
// run.
const maxPurgedRows = 200

// purge removes jobs that ended more than Settings.JobRetention ago, together with
// their task rows.
func (u *Unit) purge() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, n := time.Now(), 0
	for id, j := range u.jobs {
		if n >= maxPurgedRows {
			return
		}
		if j.finalTasks < len(j.tasks) || now.Sub(j.endedAt) < u.settings.JobRetention || j.rowPending {
			continue
		}
		n += u.deleteJob(j)
		delete(u.jobs, id)
	}
}

// deleteJob schedules the removal of the rows of a job and its tasks, and returns
// their number. The caller holds u.mu.
func (u *Unit) deleteJob(j *jobState) (rows int) {
	c := change{writes: []rowWrite{{key: j.job.Key(), version: j.version, remove: true}}}
	for _, t := range j.tasks {
		if t.version != 0 {
			c.writes = append(c.writes, rowWrite{key: t.task.Key(), version: t.version, remove: true})
		}
	}
	u.writeRows(c)
	return len(c.writes)
}

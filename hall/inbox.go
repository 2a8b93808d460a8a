package hall

import (
	"time"

	"chutereach/job"
	"chutereach/provider"
	"chutereach/timeline"
)

// Notify tells the unit that its inbox may have news. It is only a hint: the
// inbox is read every Settings.Inbox all the same.
func (u *Unit) Notify() { notify(u.inboxSignal) }

// inboxLoop moves jobs from the inbox, where any box puts them, to the unit.
func (u *Unit) inboxLoop() {
	for u.ctx.Err() == nil {
		n, err := u.readInbox()
		if err != nil {
			u.log.Warn().Err(err).Msg("Inbox cannot be read.")
		}
		if n == inboxPageSize {
			continue // there is more
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

func (u *Unit) readInbox() (int, error) {
	page, err := u.deps.Sender.Table().Range(u.ctx, job.InboxPrefix(u.hold.Unit), "", inboxPageSize)
	if err != nil {
		return 0, err
	}
	fresh := 0
	for _, row := range page {
		if u.acceptRow(row) {
			fresh++
		}
	}
	if len(page) == inboxPageSize && fresh == 0 {
		u.sleep(u.settings.InboxInterval / 10) // all of them are on their way out
	}
	return len(page), nil
}

// acceptRow takes one job in, and moves its row out of the inbox in the same
// transaction. It is queued once that has been committed.
func (u *Unit) acceptRow(row provider.Row) (fresh bool) {
	j, err := job.Decode(row.Value)
	if err != nil || j.ID.Unit() != u.hold.Unit {
		u.log.Error().Err(err).Str("row", row.Key).Msg("Inbox row is no job of this unit.")
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if known := u.jobs[j.ID]; known != nil {
		u.removeDuplicate(known, row)
		return false
	}
	s := u.addJob(j, 0)
	s.inboxVersion = row.Version
	u.writeRows(change{
		writes: []rowWrite{
			{key: j.Key(), value: row.Value},
			{key: row.Key, version: row.Version, remove: true},
		},
		onCommit: func(version uint64) {
			s.version = version
			u.recordEvent(timeline.Event{Kind: timeline.JobAccepted, Job: string(j.ID), Account: j.Account})
			u.enqueueIdle(s)
		},
	})
	return true
}

// removeDuplicate removes a row of a job that was moved already: a box whose insert had
// no answer has sent it again after the move. The caller holds u.mu.
func (u *Unit) removeDuplicate(j *jobState, row provider.Row) {
	if j.inboxVersion == row.Version {
		return // on its way out, or gone since the inbox was read
	}
	j.inboxVersion = row.Version
	u.writeRows(change{writes: []rowWrite{{key: row.Key, version: row.Version, remove: true}}})
}

// maxPurgedRows bounds what one sweep removes.
const maxPurgedRows = 200

// purge removes jobs that ended longer ago than Settings.Keep, with the rows of
// their tasks.
func (u *Unit) purge() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, n := time.Now(), 0
	for id, j := range u.jobs {
		if n >= maxPurgedRows {
			return
		}
		if j.finalTasks < len(j.tasks) || now.Sub(j.endedAt) < u.settings.JobRetention || j.version == 0 {
			continue
		}
		n += u.deleteJob(j)
		delete(u.jobs, id)
	}
}

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

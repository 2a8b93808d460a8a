package hall

import (
	"time"

	"chutereach/job"
	"chutereach/provider"
	"chutereach/timeline"
)

// Notify tells the unit that its inbox may have news. It is only a hint: the
// inbox is read every Settings.Inbox all the same.
func (u *Unit) Notify() { signal(u.inboxWake) }

// inboxLoop moves jobs from the inbox, where any box puts them, to the unit.
func (u *Unit) inboxLoop() {
	for u.ctx.Err() == nil {
		n, err := u.readInbox()
		if err != nil {
			u.log.Warn().Err(err).Msg("Inbox cannot be read.")
		}
		if n == inboxPage {
			continue // there is more
		}
		t := time.NewTimer(u.set.Inbox)
		select {
		case <-u.ctx.Done():
		case <-u.inboxWake:
		case <-t.C:
		}
		t.Stop()
	}
}

const inboxPage = 200

func (u *Unit) readInbox() (int, error) {
	page, err := u.deps.Sender.Table().Range(u.ctx, job.InboxPrefix(u.hold.Unit), "", inboxPage)
	if err != nil {
		return 0, err
	}
	fresh := 0
	for _, row := range page {
		if u.accept(row) {
			fresh++
		}
	}
	if len(page) == inboxPage && fresh == 0 {
		u.pause(u.set.Inbox / 10) // all of them are on their way out
	}
	return len(page), nil
}

// accept takes one job in, and moves its row out of the inbox in the same
// transaction. It is queued once that has been committed.
func (u *Unit) accept(row provider.Row) (fresh bool) {
	j, err := job.Decode(row.Value)
	if err != nil || j.ID.Unit() != u.hold.Unit {
		u.log.Error().Err(err).Str("row", row.Key).Msg("Inbox row is no job of this unit.")
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if known := u.jobs[j.ID]; known != nil {
		u.dropCopy(known, row)
		return false
	}
	s := u.addJob(j, 0)
	s.inbox = row.Version
	u.write(change{
		writes: []rowWrite{
			{key: j.Key(), value: row.Value},
			{key: row.Key, version: row.Version, remove: true},
		},
		then: func(version uint64) {
			s.version = version
			u.note(timeline.Event{Kind: timeline.JobAccepted, Job: string(j.ID), Account: j.Account})
			u.enqueueIdle(s)
		},
	})
	return true
}

// dropCopy removes a row of a job that was moved already: a box whose insert had
// no answer has sent it again after the move. The caller holds u.mu.
func (u *Unit) dropCopy(j *jobState, row provider.Row) {
	if j.inbox == row.Version {
		return // on its way out, or gone since the inbox was read
	}
	j.inbox = row.Version
	u.write(change{writes: []rowWrite{{key: row.Key, version: row.Version, remove: true}}})
}

// purgeRows bounds what one sweep removes.
const purgeRows = 200

// purge removes jobs that ended longer ago than Settings.Keep, with the rows of
// their tasks.
func (u *Unit) purge() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, n := time.Now(), 0
	for id, j := range u.jobs {
		if n >= purgeRows {
			return
		}
		if j.final < len(j.tasks) || now.Sub(j.ended) < u.set.Keep || j.version == 0 {
			continue
		}
		n += u.forgetJob(j)
		delete(u.jobs, id)
	}
}

func (u *Unit) forgetJob(j *jobState) (rows int) {
	c := change{writes: []rowWrite{{key: j.job.Key(), version: j.version, remove: true}}}
	for _, t := range j.tasks {
		if t.version != 0 {
			c.writes = append(c.writes, rowWrite{key: t.task.Key(), version: t.version, remove: true})
		}
	}
	u.write(c)
	return len(c.writes)
}

package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"chutereach/rowstore"
	"chutereach/workload"
)

// The progress of a job is normally one row. Once it no longer fits, the job is parted: its row in the progress table
// names the open rounds and their steps that are done, and the tasks of the other steps are in rows of the parts
// table, workload.PartTasks tasks each, of which only those that have changed are written. The parts of a step that is
// done are deleted.
//
// A job that has more changed parts than a transaction takes is written in several. That is safe: a task is
// started, and its end is acknowledged, only once all earlier changes of its job are in the store. That a step is done,
// which holds for all members of a gang at once, is in the job's one row.

const partTable = "parts"

// part is the state of a row of the parts table.
type part struct {
	stored     bool   // the store has a row or is about to
	dirtySince uint64 // generation of the job before the earliest change that is not stored; 0 if there is none
}

// partKey identifies a part of a job.
type partKey struct {
	step  *step
	index int
}

// touch records that the stored state of the task has changed.
func (t *task) touch() {
	if parts := t.step.parts; parts != nil {
		parts[t.index/workload.PartTasks].touch(t.step.job.generation)
	}
}

func (p *part) touch(generation uint64) {
	if p.dirtySince == 0 {
		p.dirtySince = max(1, generation)
	}
}

// split parts the job: all tasks that have begun are to be written in parts.
func (j *job) split() {
	j.parted = true
	for _, r := range j.rounds {
		r.makeParts()
	}
}

// makeParts gives the steps of a parted job's round their parts.
func (r *round) makeParts() {
	for _, st := range r.steps {
		if st.done() {
			continue
		}
		st.parts = make([]part, (len(st.tasks)+workload.PartTasks-1)/workload.PartTasks)
		for _, t := range st.tasks {
			if t.begun() || t.state == taskDone {
				t.touch()
			}
		}
	}
}

// dropParts gives up the parts of a step that is done. Their rows are deleted by later transactions.
func (st *step) dropParts() {
	for i, p := range st.parts {
		if p.stored {
			st.job.obsoleteParts = append(st.job.obsoleteParts, st.partName(i))
		}
	}
	st.parts = nil
}

// dropAllParts gives up the parts of a job whose progress fits into one row again.
func (j *job) dropAllParts() {
	for _, r := range j.rounds {
		for _, st := range r.steps {
			st.dropParts()
		}
	}
}

// partName returns the name of a part's row, JOB/ROUND.STEP.PART.
func (st *step) partName(index int) string {
	return fmt.Sprintf("%s/%d.%d.%d", st.job.id, st.round.number, st.index, index)
}

// jobOfPart returns the ID of the job that a part's row belongs to, and the part's number in its step; -1 if it has none.
func jobOfPart(name string) (id string, index int) {
	id, place := cutLast(name, "/")
	_, number := cutLast(place, ".")
	index, err := strconv.Atoi(number)
	if err != nil {
		index = -1
	}
	return id, index
}

// cutLast cuts a text at the last separator.
func cutLast(text, separator string) (before, after string) {
	if i := strings.LastIndex(text, separator); i >= 0 {
		return text[:i], text[i+len(separator):]
	}
	return text, ""
}

// encodePart returns the row of a part.
func (st *step) encodePart(index int) []byte {
	from := index * workload.PartTasks
	sp, _ := st.progressOf(st.tasks[from:min(len(st.tasks), from+workload.PartTasks)])
	return workload.Part{Step: sp, AcceptedAt: st.job.record.AcceptedAt}.Encode()
}

// openRounds returns what the row of a parted job says of its rounds.
func (j *job) openRounds() *workload.OpenRounds {
	open := &workload.OpenRounds{Opened: j.opened}
	for _, r := range j.rounds {
		if r.stepsLeft == 0 {
			continue
		}
		row := workload.OpenRound{Number: r.number}
		for i, st := range r.steps {
			if st.done() {
				row.DoneSteps |= 1 << i
			}
		}
		open.Open = append(open.Open, row)
	}
	return open
}

// dirtyParts returns the changed parts of the job, the oldest changes first.
func (j *job) dirtyParts() []partKey {
	var list []partKey
	for _, r := range j.rounds {
		for _, st := range r.steps {
			for i := range st.parts {
				if st.parts[i].dirtySince > 0 {
					list = append(list, partKey{st, i})
				}
			}
		}
	}
	slices.SortStableFunc(list, func(a, b partKey) int { return int(a.part().dirtySince) - int(b.part().dirtySince) })
	return list
}

func (k partKey) part() *part { return &k.step.parts[k.index] }

// writtenPart is a part that a transaction writes, with what was unsaved of it before.
type writtenPart struct {
	partKey
	dirtySince uint64
}

// takeParts adds the changed parts of a job to a transaction as far as they fit, and reports whether all of them do.
// Otherwise w.generation becomes the latest one all of whose changes are then stored.
func (s *Scheduler) takeParts(tx *transaction, w *jobWrite) bool {
	for _, key := range w.job.dirtyParts() {
		put := rowstore.Put{Key: s.rowKey(partTable, key.step.partName(key.index)), Value: key.step.encodePart(key.index)}
		p := key.part()
		if !tx.fits(1, len(put.Value)) {
			w.generation = min(w.generation, p.dirtySince-1)
			return false
		}
		w.parts = append(w.parts, writtenPart{key, p.dirtySince})
		p.stored, p.dirtySince = true, 0
		tx.put(put)
	}
	return true
}

// takeObsoleteParts deletes rows of parts that the job has no use for, as far as they fit into a transaction.
func (s *Scheduler) takeObsoleteParts(tx *transaction, w *jobWrite) {
	j := w.job
	for len(j.obsoleteParts) > 0 && tx.fits(1, 0) {
		name := j.obsoleteParts[0]
		j.obsoleteParts = j.obsoleteParts[1:]
		w.obsoleteParts = append(w.obsoleteParts, name)
		tx.remove(s.rowKey(partTable, name))
	}
}

// undoParts marks the parts of a write that was rejected as changed again.
func (w *jobWrite) undoParts() {
	for _, written := range w.parts {
		if written.step.parts == nil {
			continue // its step is done
		}
		if p := written.part(); p.dirtySince == 0 || written.dirtySince < p.dirtySince {
			p.dirtySince = written.dirtySince
		}
	}
	w.job.obsoleteParts = append(w.obsoleteParts, w.job.obsoleteParts...)
}

// restoreParts applies the rows of the parts table to the jobs that have parts, and returns the names of those that no
// job needs.
func (s *Scheduler) restoreParts(rows []rowstore.Row) (orphans []string) {
	merged := map[*step]workload.StepProgress{}
	for _, row := range rows {
		id, index := jobOfPart(row.Name)
		if s.undecodable[id] != nil {
			continue // left as it is
		}
		stored, err := workload.DecodePart(id, row.Value)
		if err != nil {
			s.skipUndecodable(id, err)
			continue
		}
		st := s.stepOfPart(id, index, stored)
		if st == nil {
			orphans = append(orphans, row.Name)
			continue
		}
		st.parts[index].stored = true
		sp := merged[st]
		for i, bits := range stored.Step.Done {
			for bit := range 8 {
				if bits&(1<<bit) != 0 {
					sp.Done = workload.SetBit(sp.Done, 8*i+bit)
				}
			}
		}
		sp.Tasks = append(sp.Tasks, stored.Step.Tasks...)
		merged[st] = sp
	}
	for st, sp := range merged {
		if s.undecodable[st.job.id] == nil {
			st.restore(sp, s.findOrAddWorker)
		}
	}
	for _, j := range s.jobs {
		if j.parted {
			j.clearParts()
		}
	}
	return orphans
}

// stepOfPart returns the step that a stored part belongs to, or nil if it is of no use any more.
func (s *Scheduler) stepOfPart(id string, index int, stored workload.Part) *step {
	j := s.jobs[id]
	if j == nil || !j.parted || j.record.AcceptedAt != stored.AcceptedAt {
		return nil
	}
	r := j.roundWith(stored.Step.Round)
	if r == nil || stored.Step.Step < 0 || stored.Step.Step >= len(r.steps) {
		return nil
	}
	if st := r.steps[stored.Step.Step]; index >= 0 && index < len(st.parts) {
		return st
	}
	return nil
}

// clearParts marks all parts of a job as unchanged. Restoring the job has marked them as changed, although they are as stored.
func (j *job) clearParts() {
	for _, r := range j.rounds {
		for _, st := range r.steps {
			for i := range st.parts {
				st.parts[i].dirtySince = 0
			}
		}
	}
}

package scheduler

import (
	"expvar"
	"time"

	"chutereach/advicebudget"
	"chutereach/fleet"
	"chutereach/histogram"
	"chutereach/workload"
)

// Metrics holds the counters and latency histograms shared by all schedulers of a process.
type Metrics struct {
	admissions, outcomes, refusals, finals, unknownJobs                 *expvar.Map
	stops, overdueStops, grants, adviceFailed, late                     *expvar.Int
	preempted, lostWithWorker, crashLimitReached, suspectedSteps        *expvar.Int
	quotaHeldSteps, quarantined, workersRestarted, inheritedLeaseBounds *expvar.Int
	unreadRows, partialReports, staleViews                              *expvar.Int
	gangsWaiting, stepsWithheld                                         *expvar.Int
	rejectedTransactions, jobMemory                                     *expvar.Int
	overloaded, overloads, adviceLeftOut                                *expvar.Int
	overloadSeconds, missedWork                                         *expvar.Float
	commitTimes, startTimes, adviceTimes                                *histogram.Durations
	completedTimes, dispatchTimes                                       *histogram.Durations
	commitJobs                                                          *expvar.Int
	lanes, adviceService                                                *expvar.Map
	ticketsReceived, ticketsUsed                                        *expvar.Int
	finalsBySize                                                        *expvar.Map
}

// NewMetrics returns Metrics with all counters at zero.
func NewMetrics() *Metrics {
	return &Metrics{
		admissions: new(expvar.Map), outcomes: new(expvar.Map), refusals: new(expvar.Map), finals: new(expvar.Map), unknownJobs: new(expvar.Map),
		stops: new(expvar.Int), overdueStops: new(expvar.Int), grants: new(expvar.Int), adviceFailed: new(expvar.Int), late: new(expvar.Int),
		commitTimes: histogram.New(), startTimes: histogram.New(), adviceTimes: histogram.New(),
		completedTimes: histogram.New(), dispatchTimes: histogram.New(), commitJobs: new(expvar.Int), preempted: new(expvar.Int),
		gangsWaiting: new(expvar.Int), stepsWithheld: new(expvar.Int),
		rejectedTransactions: new(expvar.Int), jobMemory: new(expvar.Int),
		overloaded: new(expvar.Int), overloads: new(expvar.Int), adviceLeftOut: new(expvar.Int),
		overloadSeconds: new(expvar.Float), missedWork: new(expvar.Float),
		lostWithWorker: new(expvar.Int), crashLimitReached: new(expvar.Int), suspectedSteps: new(expvar.Int), quotaHeldSteps: new(expvar.Int), quarantined: new(expvar.Int), workersRestarted: new(expvar.Int), inheritedLeaseBounds: new(expvar.Int), unreadRows: new(expvar.Int), partialReports: new(expvar.Int), staleViews: new(expvar.Int),
		lanes: new(expvar.Map), adviceService: new(expvar.Map), ticketsReceived: new(expvar.Int), ticketsUsed: new(expvar.Int),
		finalsBySize: new(expvar.Map),
	}
}

// Var returns all metrics as an expvar variable.
func (m *Metrics) Var() expvar.Var {
	all := new(expvar.Map)
	all.Set("admission", m.admissions)
	all.Set("ends", m.outcomes)
	all.Set("starts_refused", m.refusals)
	all.Set("final", m.finals)
	all.Set("final_late", m.late)
	all.Set("final_by_size", m.finalsBySize)
	all.Set("stops", m.stops)
	all.Set("stops_overdue", m.overdueStops)
	all.Set("unknown_jobs", m.unknownJobs)
	all.Set("preempted", m.preempted)
	all.Set("lost_with_worker", m.lostWithWorker)
	all.Set("steps_suspected", m.suspectedSteps)
	all.Set("given_up_for_crashes", m.crashLimitReached)
	all.Set("steps_held_by_quota", m.quotaHeldSteps)
	all.Set("gangs_kept_room", m.gangsWaiting)
	all.Set("steps_withheld_for_gangs", m.stepsWithheld)
	all.Set("overloaded", m.overloaded)
	all.Set("rejected_transactions", m.rejectedTransactions)
	all.Set("job_memory", m.jobMemory)
	all.Set("overloads", m.overloads)
	all.Set("overload_seconds", m.overloadSeconds)
	all.Set("missed_work_seconds", m.missedWork)
	all.Set("advice_steps_left_out", m.adviceLeftOut)
	all.Set("workers_quarantined", m.quarantined)
	all.Set("workers_started_again", m.workersRestarted)
	all.Set("lease_bounds_inherited", m.inheritedLeaseBounds)
	all.Set("report_rows_unread", m.unreadRows)
	all.Set("reports_partial", m.partialReports)
	all.Set("evacuations_unconfirmed", m.staleViews)
	all.Set("grants", m.grants)
	all.Set("advice_failed", m.adviceFailed)
	all.Set("commit_ms", m.commitTimes)
	all.Set("committed_jobs", m.commitJobs)
	all.Set("start_ms", m.startTimes)
	all.Set("advice_ms", m.adviceTimes)
	all.Set("advice_lanes", m.lanes)
	all.Set("advice_service_us", m.adviceService)
	all.Set("tickets_received", m.ticketsReceived)
	all.Set("tickets_used", m.ticketsUsed)
	all.Set("completed_ms", m.completedTimes)
	all.Set("look_ms", m.dispatchTimes)
	return all
}

func (m *Metrics) admission(outcome string) { m.admissions.Add(outcome, 1) }

func (m *Metrics) commit(took time.Duration, jobs int) {
	m.commitTimes.Record(took)
	m.commitJobs.Add(int64(jobs))
}

func (m *Metrics) start(took time.Duration, err error) {
	if err == nil {
		m.startTimes.Record(took)
	}
}

func (m *Metrics) startRefused(reason string) { m.refusals.Add(reason, 1) }
func (m *Metrics) end(outcome fleet.Outcome)  { m.outcomes.Add(string(outcome), 1) }

func (m *Metrics) advice(took time.Duration, err error) {
	if err != nil {
		m.adviceFailed.Add(1)
		return
	}
	m.adviceTimes.Record(took)
}

// adviceServiceTime adds the time that a call occupied the advice service.
func (m *Metrics) adviceServiceTime(kind advicebudget.Kind, took time.Duration) {
	m.adviceService.Add(kind.String(), took.Microseconds())
}

// adviceLanes sets the lanes kept for cheap calls, left for costly ones, and in use.
func (m *Metrics) adviceLanes(division advicebudget.Division, use laneUse) {
	set := func(name string, count int) {
		value := new(expvar.Int)
		value.Set(int64(count))
		m.lanes.Set(name, value)
	}
	set("kept", division.Kept)
	set("for_costly", division.Costly)
	set("used_cheap", use.cheap)
	set("used_costly", use.costly)
}

func (m *Metrics) final(state workload.State, late bool, age time.Duration) {
	m.finals.Add(string(state), 1)
	if late {
		m.late.Add(1)
	}
	if state == workload.Completed {
		m.completedTimes.Record(age)
	}
}

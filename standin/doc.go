// Package standin takes the platform's place in tests and on a developer's
// machine: a table, an object store, a list of boxes and a fleet of workers, all
// in memory.
//
// Each can be made to fail as the platform does: to be slow, to refuse, to be
// down, and to take effect while its answer is lost. A Witness on the fleet
// judges the promises from the workers' side, so that no test has to believe
// the scheduler's own account.
package standin

package node

import "chutereach/evacuation"

// evacuationCalls is how many calls of the store's feed the time within which an evacuation must
// be heeded has room for. The rows are as old as two calls, so that the view is seldom stale.
const evacuationCalls = 3

// takeEvacuations takes in which data halls are evacuated, as the store has it.
func (n *Node) takeEvacuations(view evacuation.View) {
	former, changed := n.evacuations.Offer(view)
	if !changed {
		return
	}
	n.orders.news()
	n.metrics.evacuationChanges.Add(1)
	n.metrics.evacuatedHalls.Set(int64(len(view.Halls())))
	n.log.Info().Uint64("version", view.Version()).Strs("halls", view.Halls()).Strs("before", former.Halls()).
		Msg("evacuated data halls")
}

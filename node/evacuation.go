package node

import "chutereach/evacuation"

// evacuationCalls is the number of calls of the store's feed that fit into the time within
// which an evacuation must take effect. The view may be as old as two calls, so that three keep
// it from becoming stale.
const evacuationCalls = 3

// takeEvacuations applies the evacuated data halls read from the store.
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

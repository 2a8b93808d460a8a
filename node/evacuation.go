package node

import "chutereach/evacuation"

// feedCallsPerEvacuation is the number of calls of the store's feed that fit into the time within
// which an evacuation must take effect. The view may be as old as two calls, so that three keep
// it from becoming stale.
const feedCallsPerEvacuation = 3

// applyEvacuations applies the evacuated data halls read from the store.
func (n *Node) applyEvacuations(view evacuation.View) {
	former, changed := n.evacuations.Offer(view)
	if !changed {
		return
	}
	n.orders.notifyChange()
	n.metrics.evacuationChanges.Add(1)
	n.metrics.evacuatedHalls.Set(int64(len(view.Halls())))
	n.log.Info().Uint64("version", view.Version()).Strs("halls", view.Halls()).Strs("before", former.Halls()).
		Msg("evacuated data halls")
}

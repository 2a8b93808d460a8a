package node

// Who relays the operator's orders to whom, as an owner decides it.

const (
	// relayHall is how many nodes a data hall has, at the least, for some to relay.
	relayHall = 16
	// relayLink is what the link of a relay takes at the least, in Mbit/s, and linkShare how much of
	// it there is to be for each node that it serves: a configuration of 0.5 MB then reaches them
	// all within half a second. maxFollowers bounds these nodes.
	relayLink    = 100
	linkShare    = 8
	maxFollowers = 32
)

// relayPlan is which nodes relay the operator's orders, and to whom. It never changes.
type relayPlan struct {
	// chosen are the names of the nodes that are to relay.
	chosen map[string]bool
	// relays are the addresses of the relays by the names of the nodes that are to ask there.
	relays map[string]string
}

// relayPlan returns the plan as the members and what they answer have it. The lock is held.
func (n *Node) relayPlan(ranked []Member) relayPlan {
	if n.plan != nil && n.planAt == n.memberSerial {
		return *n.plan
	}
	var present []Member
	for _, member := range ranked {
		if !n.peers[member.Node].lost {
			present = append(present, member)
		}
	}
	plan := planRelays(present, n.config.Self.Node, func(member Member) bool { return n.peers[member.Node].relays })
	n.plan, n.planAt = &plan, n.memberSerial
	return plan
}

// planRelays chooses relays for large data halls, as far as there are enough nodes with wide links,
// and has nodes ask those that are ready. The owner takes no part.
func planRelays(ranked []Member, owner string, ready func(Member) bool) relayPlan {
	halls := map[string][]Member{}
	for _, member := range ranked {
		if member.Node != owner {
			halls[member.Hall] = append(halls[member.Hall], member)
		}
	}
	plan := relayPlan{map[string]bool{}, map[string]string{}}
	for _, members := range halls {
		if len(members) >= relayHall {
			plan.addHall(members, ready)
		}
	}
	for _, member := range ranked[:min(len(ranked), succession)] {
		delete(plan.relays, member.Node) // its orders must be fresh when it takes the shard
	}
	return plan
}

// addHall chooses the relays of one data hall, the best owners, as few as serve all its nodes.
func (p relayPlan) addHall(members []Member, ready func(Member) bool) {
	var relays, others []Member
	room := 0
	for _, member := range members {
		served := followersOf(member)
		if served == 0 || room >= len(members)-len(relays) {
			others = append(others, member)
			continue
		}
		p.chosen[member.Node] = true
		relays = append(relays, member)
		room += served
	}
	for _, relay := range relays {
		served := min(followersOf(relay), len(others))
		for _, other := range others[:served] {
			if ready(relay) {
				p.relays[other.Node] = relay.Address
			}
		}
		others = others[served:]
	}
}

// followersOf returns how many nodes a member may serve as a relay.
func followersOf(member Member) int {
	if member.Link < relayLink {
		return 0
	}
	return min(maxFollowers, int(member.Link/linkShare))
}

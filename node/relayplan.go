package node

const (
	// minRelayHallSize is the number of nodes in a data hall from which it gets relays.
	minRelayHallSize = 16
	// minRelayLink is the minimum bandwidth of a relay's link, and linkPerFollower the share of it
	// for each node that it serves, both in Mbit/s. A configuration of 0.5 MB then reaches all
	// followers within half a second. maxFollowers bounds the number of nodes that one relay
	// serves.
	minRelayLink    = 100
	linkPerFollower = 8
	maxFollowers    = 32
)

// relayPlan assigns relays to nodes. It is immutable.
type relayPlan struct {
	// relayNodes holds the names of the nodes assigned as relays.
	relayNodes map[string]bool
	// relayAddress maps names of nodes to the addresses of their relays.
	relayAddress map[string]string
}

// relayPlan returns the plan for the current members and their readiness. n.mu must be held.
func (n *Node) relayPlan(ranked []Member) relayPlan {
	if n.plan != nil && n.planVersion == n.membersVersion {
		return *n.plan
	}
	var present []Member
	for _, member := range ranked {
		if !n.peers[member.Node].lost {
			present = append(present, member)
		}
	}
	plan := planRelays(present, n.config.Self.Node, func(member Member) bool { return n.peers[member.Node].relays })
	n.plan, n.planVersion = &plan, n.membersVersion
	return plan
}

// planRelays assigns relays in large data halls, as far as there are enough nodes with wide links,
// and assigns followers to the relays that are ready. The owner neither is a relay nor has one.
func planRelays(ranked []Member, owner string, ready func(Member) bool) relayPlan {
	halls := map[string][]Member{}
	for _, member := range ranked {
		if member.Node != owner {
			halls[member.Hall] = append(halls[member.Hall], member)
		}
	}
	plan := relayPlan{map[string]bool{}, map[string]string{}}
	for _, members := range halls {
		if len(members) >= minRelayHallSize {
			plan.addHall(members, ready)
		}
	}
	for _, member := range ranked[:min(len(ranked), successionSize)] {
		delete(plan.relayAddress, member.Node) // a likely successor reads the store, so that its orders are fresh on takeover
	}
	return plan
}

// addHall assigns the relays of one data hall: the most preferred members with wide links, as few
// as can serve all others.
func (p relayPlan) addHall(members []Member, ready func(Member) bool) {
	var relays, others []Member
	room := 0
	for _, member := range members {
		served := followerLimit(member)
		if served == 0 || room >= len(members)-len(relays) {
			others = append(others, member)
			continue
		}
		p.relayNodes[member.Node] = true
		relays = append(relays, member)
		room += served
	}
	for _, relay := range relays {
		served := min(followerLimit(relay), len(others))
		for _, other := range others[:served] {
			if ready(relay) {
				p.relayAddress[other.Node] = relay.Address
			}
		}
		others = others[served:]
	}
}

// followerLimit returns how many nodes a member may serve as a relay.
func followerLimit(member Member) int {
	if member.LinkMbps < minRelayLink {
		return 0
	}
	return min(maxFollowers, int(member.LinkMbps/linkPerFollower))
}

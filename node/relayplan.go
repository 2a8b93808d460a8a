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
	// chosen holds the names of the nodes assigned as relays.
	chosen map[string]bool
	// relays maps names of nodes to the addresses of their relays.
	relays map[string]string
}

// relayPlan returns the plan for the current members and their readiness. n.mu must be held.
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
	for _, member := range ranked[:min(len(ranked), succession)] {
		delete(plan.relays, member.Node) // a likely successor reads the store, so that its orders are fresh on takeover
	}
	return plan
}

// addHall assigns the relays of one data hall: the most preferred members with wide links, as few
// as can serve all others.
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
	if member.Link < minRelayLink {
		return 0
	}
	return min(maxFollowers, int(member.Link/linkPerFollower))
}

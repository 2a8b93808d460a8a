package node

import (
	"fmt"
	"slices"
	"testing"

	"chutereach/clock"
	"chutereach/evacuation"
)

// hallMembers returns the members of a data hall; the first ones have fast links of the given speed.
func hallMembers(hall string, fast, slow int, link float64) []Member {
	var members []Member
	for i := range fast + slow {
		member := Member{Node: fmt.Sprintf("%s-%03d", hall, i), Address: fmt.Sprintf("%s-%03d:1", hall, i), Hall: hall, Cores: 0.2, LinkMbps: 20}
		if i < fast {
			member.Cores, member.LinkMbps = 1.6, link
		}
		members = append(members, member)
	}
	return members
}

func TestPlanRelays(t *testing.T) {
	cases := []struct {
		name       string
		fast, slow int
		link       float64
		served     int // nodes with a relay, without the succession
	}{
		{"small hall", 3, 12, 1000, 0},
		{"no fast links", 0, 90, 1000, 0},
		{"unknown link speed", 12, 90, 0, 0},
		{"fast links", 12, 90, 1000, 98 - 9},
		{"links for 25 nodes each", 3, 40, 200, 41 - 11},
		{"too few relays", 1, 90, 1000, 32},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			members := hallMembers("h", test.fast, test.slow, test.link)
			slices.SortFunc(members, Member.compare)
			plan := planRelays(members, members[0].Node, func(Member) bool { return true })
			assigned := plan.relayAddress
			followers := map[string]int{}
			for _, relay := range assigned {
				followers[relay]++
			}
			for _, member := range members {
				if limit := followerLimit(member); followers[member.Address] > limit {
					t.Errorf("%s serves %d nodes, want %d at most", member.Node, followers[member.Address], limit)
				}
				if _, has := assigned[member.Node]; has && followers[member.Address] > 0 {
					t.Errorf("%s is a relay and is assigned one", member.Node)
				}
			}
			if _, has := assigned[members[0].Node]; has || followers[members[0].Address] > 0 {
				t.Error("the owner is a relay or has one")
			}
			if test.served == 0 && len(assigned) > 0 {
				t.Errorf("%d nodes have a relay, want 0", len(assigned))
			}
			t.Logf("%d nodes, %d with a relay, %d relays", len(members), len(assigned), len(followers))
		})
	}
}

// A relay answers at once only if its view of evacuations is newer than the caller's and differs from it.
func TestOrdersCallLacks(t *testing.T) {
	view := evacuation.NewView([]string{"north"}, 7, clock.Now())
	for _, test := range []struct {
		name string
		call ordersRequest
		want bool
	}{
		{"an older view of other halls", ordersRequest{EvacuationVersion: 5}, true},
		{"an older view of the same halls", ordersRequest{EvacuationVersion: 5, Halls: []string{"north"}}, false},
		{"the same view", ordersRequest{EvacuationVersion: 7, Halls: []string{"north"}}, false},
		{"a later view of other halls", ordersRequest{EvacuationVersion: 9}, false},
	} {
		if got := test.call.outdatedBy(view); got != test.want {
			t.Errorf("%s: lacks() = %v, want %v", test.name, got, test.want)
		}
	}
}

// Ready relays serve only nodes of their own data hall, and the assignment does not change while the
// members stay the same.
func TestPlanRelaysStaysInHallAndIsStable(t *testing.T) {
	var members []Member
	for _, hall := range []string{"a", "b", "c"} {
		members = append(members, hallMembers(hall, 4, 40, 1000)...)
	}
	slices.SortFunc(members, Member.compare)
	ready := func(member Member) bool { return member.Node != "b-000" }
	assigned := planRelays(members, "a-000", ready).relayAddress
	if len(assigned) < len(members)/2 {
		t.Errorf("%d of %d nodes have a relay", len(assigned), len(members))
	}
	for node, relay := range assigned {
		if node[0] != relay[0] || relay == "b-000:1" {
			t.Errorf("%s is assigned relay %s, want a ready relay of its own hall", node, relay)
		}
	}
	for node, relay := range planRelays(members, "a-000", ready).relayAddress {
		if assigned[node] != relay {
			t.Errorf("%s is assigned relay %s in the second plan and %q in the first", node, relay, assigned[node])
		}
	}
}

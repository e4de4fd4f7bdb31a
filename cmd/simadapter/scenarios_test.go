package main

// goldenScenarios run the policy in a closed loop: the world of each scenario reacts to the actions in the replies.
// Together the scenarios cover every event of the wire and every action that the policy emits. The name of a scenario
// is also the name of its golden file.
var goldenScenarios = []scenario{
	{
		name:              "load-on-miss",
		seed:              11,
		routerCount:       2,
		workerCount:       8,
		functionCount:     40,
		batches:           3000,
		arrivalsPerSecond: 90,
		settings: `{"peersTotal": 2, "granularityMs": 2, "membershipMode": "automatic",
			"report": {"fields": ["queue", "x0", "x1"], "how": "inline"},
			"classes": [
				{"deadlineMs": 4000, "goalTimeMs": 600, "semantics": "safe", "group": "all", "worth": 1, "lateWorth": 0.3},
				{"deadlineMs": 5000, "goalTimeMs": 1500, "semantics": "safe", "group": "all", "worth": 2, "lateWorth": 0.3},
				{"deadlineMs": 5000, "goalTimeMs": 300, "semantics": "unsafe", "group": "all", "worth": 5, "lateWorth": 0.3}],
			"limits": {"retryAfter": true, "maxAttempts": 6, "maxRetryAfterMs": 2000},
			"rules": {"coldFrom": 0.17, "coldMs": 15000, "drainGraceMs": 2000, "fallMs": 1500, "fallMultiple": 3},
			"specifics": {"ifCold": "load", "lingerIdleMs": 11000, "loadWaitMs": 10000}}`,
	},
	{
		name:                 "orders-and-gossip",
		seed:                 12,
		routerCount:          3,
		workerCount:          10,
		functionCount:        60,
		batches:              3000,
		arrivalsPerSecond:    60,
		missWhenNotLoaded:    true,
		requiresSubscription: true,
		settings: `{"peersTotal": 3, "granularityMs": 2, "membershipMode": "subscribe",
			"report": {"fields": ["inflight", "queue"], "how": "on_probe"},
			"classes": [
				{"deadlineMs": 3000, "goalTimeMs": 400, "semantics": "keyed", "group": "zone", "windowMs": 2500, "worth": 1},
				{"deadlineMs": 3000, "goalTimeMs": 800, "semantics": "keyed", "group": "all", "windowMs": 900, "worth": 3},
				{"deadlineMs": 2500, "goalTimeMs": 300, "semantics": "unsafe", "group": "cell", "worth": 4, "streamed": true}],
			"limits": {"cancel": true, "mayProbe": true, "peers": true, "maxAttempts": 4},
			"rules": {"askWithinMs": 800, "coldFrom": 0.25, "coldMs": 8000, "drainGraceMs": 500, "fallMs": 2000, "fallMultiple": 2},
			"specifics": {"ifCold": "miss", "placementCalls": true, "warmNotes": true, "notesPeersInHand": true,
				"lingerIdleMs": 9000, "loadWaitMs": 6000, "loadsWithinMs": 5000, "loadFree": 4, "loadPart": 0.3}}`,
	},
	{
		name:              "tenants-in-overload",
		seed:              13,
		routerCount:       1,
		workerCount:       4,
		functionCount:     25,
		batches:           3000,
		arrivalsPerSecond: 160,
		workHints:         true,
		settings: `{"peersTotal": 40, "granularityMs": 4, "membershipMode": "automatic", "countedBy": "work", "overShareWorth": 0.2,
			"accounts": [{"allowancePerS": 1200}, {"allowancePerS": 300}],
			"report": {"fields": ["queue"], "how": "inline"},
			"classes": [
				{"deadlineMs": 2000, "goalTimeMs": 300, "semantics": "safe", "worth": 1, "lateWorth": 0.2},
				{"deadlineMs": 3000, "goalTimeMs": 500, "semantics": "keyed", "group": "cell", "windowMs": 1500, "worth": 6}],
			"limits": {"cancel": true, "mayProbe": true, "retryAfter": true, "maxAttempts": 3, "maxRetryAfterMs": 700},
			"rules": {"coldFrom": 0.4, "coldMs": 6000, "fallMs": 1000, "fallMultiple": 2.5},
			"specifics": {"ifCold": "load", "warmNotes": true, "lingerIdleMs": 5000}}`,
	},
}

package runner

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"lagoonstile"
	"lagoonstile/listener"
	"lagoonstile/quarantiner"
)

// TestNodesAgreeOnQuarantine guards against members that still refuse a request after a
// server has completed it, in a run that another member had begun before the
// quarantine. It lets one node see a row of crashes and another one the good end.
func TestNodesAgreeOnQuarantine(t *testing.T) {
	const request quarantiner.Fingerprint = 7
	var nodes []*Node
	var members []lagoonstile.Member
	for _, id := range []lagoonstile.InstanceID{"edge-0", "edge-1", "edge-2"} {
		n, err := StartNode(NodeSettings{
			Instance: id, FailureDomain: "zone-0", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
			Limits: listener.DefaultLimits,
		}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Stop)
		nodes = append(nodes, n)
		members = append(members, n.Self())
	}
	for _, n := range nodes {
		n.SetMembers(members)
	}
	await := func(want quarantiner.Admission) {
		t.Helper()
		end := time.Now().Add(5 * time.Second)
		for _, n := range nodes {
			for n.suspects.Admit(request) != want {
				if time.Now().After(end) {
					t.Fatalf("%s: admission %s, want %s", n.settings.Instance, n.suspects.Admit(request), want)
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	for range nodeCrashThreshold {
		nodes[0].suspects.RecordCrash(request, nodes[0].suspects.Evidence(request))
	}
	await(quarantiner.Denied)
	nodes[1].suspects.Clear(request)
	await(quarantiner.Unrestricted)
	nodes[2].suspects.RecordCrash(request, nodes[2].suspects.Evidence(request))
	await(quarantiner.Isolated)
}

package runner

import (
	"testing"

	"lagoonstile/listener"
)

// TestAllocationsFitIntoMemory checks, for all pairs of memory and descriptors that
// settings allow, that all parts together stay within the memory and the descriptors: when
// budgets are used for receive buffers as far as possible, and when they are used for
// memory of the process only.
func TestAllocationsFitIntoMemory(t *testing.T) {
	const mib = 1 << 20
	receiveBytes := listener.DefaultLimits.ReceiveBuffer.Bytes()
	for _, memory := range []int64{64 * mib, 96 * mib, 128 * mib, 184_000_000, 424_000_000, 536_000_000, 1024 * mib, 4096 * mib} {
		for _, descriptors := range []int{400, 1024, 4100, 8192, 10250, 65536} {
			a := Resources{MemoryBytes: memory, Descriptors: descriptors}.allocate()
			node := RolePeers.budgetBytes(memory) + RoleDirectory.budgetBytes(memory) + RoleReadiness.budgetBytes(memory)
			instance := a.idleBudget + RoleOperators.budgetBytes(memory)
			budgets := a.callerBudget + max(node, instance)
			queues := receiveBytes * int64(a.callerBacklog+maxOtherListeners*a.otherBacklog)
			outside := programBytes + fixedSocketBytes + queues
			if sum := outside + budgets/kernelPart + a.runtimeBytes; sum > memory {
				t.Errorf("%d bytes, %d descriptors: receive buffers and the runtime take %d bytes", memory, descriptors, sum)
			}
			state := stateBytes + memory/statePart
			if need := budgets + state + memory/garbagePart; need > a.runtimeBytes {
				t.Errorf("%d bytes, %d descriptors: the runtime needs %d bytes and has %d", memory, descriptors, need, a.runtimeBytes)
			}
			if sum := 2*a.callerConnections + maxOtherListeners*a.otherConnections; sum > descriptors-keptDescriptors {
				t.Errorf("%d bytes, %d descriptors: connections take %d descriptors", memory, descriptors, sum)
			}
			t.Logf("%5d MB %6d descriptors: %5d and 3 x %d connections, %4d MB for callers, %4d MB for the runtime, backlogs %d and 3 x %d",
				memory/1e6, descriptors, a.callerConnections, a.otherConnections, a.callerBudget/1e6, a.runtimeBytes/1e6, a.callerBacklog, a.otherBacklog)
		}
	}
}

// TestKeyTableIsPartOfTheBudget checks that order keys and stored answers leave most of the
// budget to callers, whatever the settings say, and that an ordinary instance has room for
// as many keys as by default.
func TestKeyTableIsPartOfTheBudget(t *testing.T) {
	tests := []struct {
		memory        int64
		maxKeys, want int
	}{
		{64 << 20, 100_000, 8_000},
		{1 << 30, 100_000, 100_000},
		{1 << 30, 500, 500},
	}
	for _, test := range tests {
		a := Resources{MemoryBytes: test.memory, Descriptors: 4100}.allocate()
		if keys := a.keyLimits(test.maxKeys).MaxKeys; keys < test.want || keys > test.maxKeys {
			t.Errorf("%d bytes, at most %d keys: %d keys, want %d or more", test.memory, test.maxKeys, keys, test.want)
		}
		if budget := a.keyBudget(test.maxKeys); budget > a.callerBudget/4 {
			t.Errorf("%d bytes: the keys take %d of %d bytes", test.memory, budget, a.callerBudget)
		}
	}
}

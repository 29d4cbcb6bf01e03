package runner

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"syscall"

	"lagoonstile/deduplicator"
	"lagoonstile/listener"
	"lagoonstile/rationer"
	"lagoonstile/recorder"
)

// Resources are what a process may use. A value of 0 of a field means its default.
type Resources struct {
	// MemoryBytes is the memory of the process. The default is DefaultMemoryBytes.
	MemoryBytes int64
	// Descriptors is the number of file descriptors that it may have open. The default
	// is the limit of the operating system.
	Descriptors int
}

// DefaultMemoryBytes is the memory that a process uses if nothing else is set.
const DefaultMemoryBytes = 1 << 30

// What a process needs besides its budgets.
const (
	// programBytes is memory that the runtime does not count, such as the program.
	programBytes = 16 << 20
	// stateBytes and statePart, a divisor of the memory, are for the configuration, the
	// servers, the members and all else that does not grow with clients.
	stateBytes = 8 << 20
	statePart  = 32
	// garbagePart is the part of the memory, as a divisor, that stays free for garbage
	// when all budgets are used up.
	garbagePart = 16
	// queuePart is the part of the memory, as a divisor, that connections may hold which
	// no listener has accepted yet. Half of them are those of callers.
	queuePart = 32
	// fixedSocketBytes are for the sockets to the store and to peers.
	fixedSocketBytes = 2 << 20
)

// ListenerRole is what a listener that is not for callers is for.
type ListenerRole string

// The roles of listeners.
const (
	RolePeers     ListenerRole = "peers"
	RoleDirectory ListenerRole = "directory"
	RoleReadiness ListenerRole = "readiness"
	RoleOperators ListenerRole = "operators"
)

// budgetBytes returns the size of the budget of a listener in a process with so much
// memory.
func (r ListenerRole) budgetBytes(memory int64) int64 {
	switch r {
	case RolePeers:
		return memory / 32
	case RoleDirectory:
		return memory / 64
	default:
		return memory / 128
	}
}

// Parts of the resources that connections and requests use.
const (
	// otherParts is the part of the memory, of otherWhole, that is for all but callers: for
	// other listeners, and for connections to servers that are kept without a request.
	otherParts = 7
	otherWhole = 128
	// idlePart is the part for kept connections, as a divisor.
	idlePart = 64
	// kernelPart is the largest part of a budget, as a divisor, that receive buffers take.
	// Each price consists of at least as many bytes of the process as of the kernel.
	kernelPart = 2
	// minBudgetBytes is the least budget for callers.
	minBudgetBytes = 4 << 20
	// keptDescriptors are kept for files, the store, peers and readiness checks.
	keptDescriptors = 264
	// minCallerConnections and minOtherConnections are the least numbers of connections
	// that a listener accepts, and minBacklog the least number that wait to be accepted.
	minCallerConnections = 16
	minOtherConnections  = 8
	minBacklog           = 16
)

// The parts of the descriptors, of descriptorWhole, that the connections of callers and
// those of any other listener may use. Servers need as many as callers.
const (
	callerDescriptors = 32
	otherDescriptors  = 5
	descriptorWhole   = 80
)

// allocation divides the resources of a process. Budgets, the receive buffers outside of
// them, the state, garbage and the program together do not exceed its memory.
type allocation struct {
	memory int64
	// callerBudget is the size of the budget for callers, and idleBudget that of the
	// connections to servers without a request, in bytes.
	callerBudget, idleBudget int64
	// callerConnections and otherConnections limit the connections of a listener. They are
	// 0 if the number of descriptors is not known.
	callerConnections, otherConnections int
	// callerBacklog and otherBacklog limit the connections that wait to be accepted.
	callerBacklog, otherBacklog int
	// runtimeBytes is the memory for the runtime: its heap, stacks and garbage.
	runtimeBytes int64
}

// allocate divides the resources.
func (r Resources) allocate() allocation {
	a := allocation{memory: r.MemoryBytes}
	if a.memory == 0 {
		a.memory = DefaultMemoryBytes
	}
	queues := a.memory / queuePart
	outside := programBytes + queues + fixedSocketBytes
	free := a.memory - outside - stateBytes - a.memory/statePart - a.memory/garbagePart
	// Receive buffers come out of what the runtime would use otherwise.
	budgets := free * kernelPart / (kernelPart + 1)
	others := a.memory * otherParts / otherWhole
	a.callerBudget = max(budgets-others, minBudgetBytes)
	a.idleBudget = a.memory / idlePart
	a.runtimeBytes = a.memory - outside - (a.callerBudget+others)/kernelPart
	a.callerBacklog = backlog(queues / 2)
	a.otherBacklog = backlog(queues / 2 / maxOtherListeners)
	if descriptors := r.descriptors() - keptDescriptors; descriptors > -keptDescriptors {
		a.callerConnections = max(descriptors*callerDescriptors/descriptorWhole, minCallerConnections)
		a.otherConnections = max(descriptors*otherDescriptors/descriptorWhole, minOtherConnections)
	}
	return a
}

// maxOtherListeners is the number of listeners besides that for callers.
const maxOtherListeners = 3

// backlog returns how many connections may wait to be accepted in so many bytes.
func backlog(bytes int64) int {
	return max(int(bytes/listener.DefaultLimits.ReceiveBuffer.Bytes()), minBacklog)
}

// SetMemoryLimit makes the garbage collector keep the process within its memory, if it
// is set. It applies to the whole process.
func (r Resources) SetMemoryLimit() {
	if r.MemoryBytes > 0 {
		debug.SetMemoryLimit(r.allocate().runtimeBytes)
	}
}

// descriptors returns the number of descriptors that the process may use, or 0 if it is
// not known.
func (r Resources) descriptors() int {
	if r.Descriptors > 0 {
		return r.Descriptors
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<20))
}

// keyBytes is the size of an order key in the key table, and keyPart the part of the
// budget for callers, as a divisor, that the keys and the stored answers take each.
const (
	keyBytes = 256
	keyPart  = 8
)

// Sizes of the largest response of the platform's services, or of a peer's copy: a part of
// the memory, as a divisor, but at least minResponseBytes.
const (
	responsePart     = 32
	minResponseBytes = 2 << 20
)

// ResponseBytes returns the size in bytes of the largest response of the platform's
// services, and of the largest copy of a peer.
func (r Resources) ResponseBytes() int64 {
	return max(r.allocate().memory/responsePart, minResponseBytes)
}

// keyLimits returns the limits of the table of order keys, which has at most maxKeys.
func (a allocation) keyLimits(maxKeys int) deduplicator.Limits {
	return deduplicator.Limits{
		MaxKeys:        min(maxKeys, int(a.callerBudget/keyPart/keyBytes)),
		MaxAnswerBytes: int(min(maxAnswerBytes, a.callerBudget/keyPart)),
		EpochDuration:  epochDuration,
	}
}

// keyBudget returns the size in bytes of a full table of order keys.
func (a allocation) keyBudget(maxKeys int) int64 {
	limits := a.keyLimits(maxKeys)
	return int64(limits.MaxKeys)*keyBytes + int64(limits.MaxAnswerBytes)
}

// callerLimits returns the limits of the listener for callers, whose handler takes
// handlerBytes for each request.
func (a allocation) callerLimits(limits listener.Limits, handlerBytes int64, budget *rationer.Budget, log *slog.Logger) listener.Limits {
	limits.MaxConnections, limits.Backlog = a.callerConnections, a.callerBacklog
	limits.HandlerBytes, limits.Budget, limits.Log = handlerBytes, budget, log
	return limits
}

// otherLimits returns the limits of any other listener, which has a budget of its own.
func (a allocation) otherLimits(limits listener.Limits, role ListenerRole, log *slog.Logger) listener.Limits {
	limits.MaxConnections, limits.Backlog = a.otherConnections, a.otherBacklog
	limits.Budget, limits.Log = rationer.New(role.budgetBytes(a.memory)), log
	limits.MaxRequestBytes = int(min(int64(limits.MaxRequestBytes), limits.Budget.LargestTake()))
	return limits
}

// setBudgetGauges sets the gauges of what a budget has granted.
func setBudgetGauges(gauges *recorder.Recorder, budget *rationer.Budget) {
	usage := budget.Usage()
	gauges.SetGauge("budget.held-bytes", usage.HeldBytes)
	gauges.SetGauge("budget.limit-bytes", usage.LimitBytes)
	gauges.SetGauge("budget.refused", usage.Refused)
	gauges.SetGauge("budget.revoked", usage.Revoked)
	for _, held := range rationer.Holdings() {
		gauges.SetGauge(fmt.Sprintf("budget.%s-%s-bytes", held.Kind, held.Phase), usage.Held[held])
	}
}

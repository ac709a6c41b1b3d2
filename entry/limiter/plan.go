package limiter

// Plan holds the limits of the servers of an entry, which follow from the memory and
// the descriptors of its VM.
type Plan struct {
	Callers, Peers, Ready, Metrics Share
	// The shares for replies of workers, other entries and the store have no limit on
	// connections.
	WorkerReplies, PeerReplies, StoreReplies Share
}

// Share holds the limits of one server.
type Share struct {
	Connections          int
	HeadBytes, BodyBytes int64
}

// Places returns how many connections may be held by requests that wait for a result. The
// others stay free for requests that are answered at once, such as cancellings.
func (s Share) Places() int { return max(s.Connections-max(s.Connections/freeConnShare, 1), 1) }

// MaxBody returns the size of the largest body that can be read.
func (s Share) MaxBody() int64 { return s.BodyBytes / copies }

const (
	// callerConnBytes is the memory for a connection of a caller: stacks (12 KB),
	// buffers of net/http (8 KB), the parts of a head (18 KB parsed) and of a body
	// (16 KB, part of it twice) that are not counted.
	callerConnBytes = 64 << 10
	// peerConnBytes is lower, as most connections of other entries are idle.
	peerConnBytes = 48 << 10
	// The shares of the memory, as divisors. Together they are nine tenths of it, and no
	// load needs all of them at the same time.
	callerConnShare, peerConnShare = 4, 6
	bodyShare                      = 8
	callerHeadShare, peerHeadShare = 16, 32
	replyShare                     = 16
	// minPeerBodyBytes fits a body of another entry (4 MB).
	minPeerBodyBytes = copies * (4<<20 + pieceBytes)
	// minWorkerReplyBytes fits the lists of several workers with 10,000 runs each.
	minWorkerReplyBytes = 4 << 20
	// minStoreReplyBytes fits a page of the store (8 MB).
	minStoreReplyBytes = copies * 8 << 20
	// minBodyBytes fits several bodies of the usual limit (256 KB).
	minBodyBytes = 2 << 20
	// minHeadBytes fits several heads of the usual limit (16 KB).
	minHeadBytes = 1 << 20
	// freeConnShare is the part of the connections that requests which wait for a result
	// leave free, as a divisor.
	freeConnShare = 8
	// operatorConns are the connections to the servers for probes and for metrics,
	// each of which has a handful of clients.
	operatorConns = 64
	// minConns keeps servers usable with hardly any descriptors.
	minConns = 4
	// reservedFds are kept for files on the platform.
	reservedFds = 200
	// The percentages of the other descriptors for each server. The rest is for
	// connections to workers, other entries and the store.
	callerFdPercent, peerFdPercent, operatorFdPercent = 45, 25, 5
	// defaultMemoryMB applies if the memory is not known: about that of the largest
	// entries.
	defaultMemoryMB = 512
)

// NewPlan returns the limits for a VM with memoryMB of memory and maxFds descriptors.
// 0 means that the value is not known.
func NewPlan(memoryMB, maxFds int) Plan {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	memory := int64(memoryMB) << 20
	conns := func(byMemory int64, fdPercent int) int {
		n := int(byMemory)
		if maxFds > 0 {
			n = min(n, max(maxFds-reservedFds, 0)*fdPercent/100)
		}
		return max(n, minConns)
	}
	return Plan{
		Callers: Share{
			Connections: conns(memory/callerConnShare/callerConnBytes, callerFdPercent),
			HeadBytes:   max(memory/callerHeadShare, minHeadBytes), BodyBytes: max(memory/bodyShare, minBodyBytes),
		},
		Peers: Share{
			Connections: conns(memory/peerConnShare/peerConnBytes, peerFdPercent),
			HeadBytes:   max(memory/peerHeadShare, minHeadBytes), BodyBytes: max(memory/bodyShare, minPeerBodyBytes),
		},
		WorkerReplies: Share{BodyBytes: max(memory/replyShare, minWorkerReplyBytes)},
		PeerReplies:   Share{BodyBytes: max(memory/replyShare, minPeerBodyBytes)},
		StoreReplies:  Share{BodyBytes: max(memory/replyShare, minStoreReplyBytes)},

		Ready:   Share{Connections: conns(operatorConns, operatorFdPercent), HeadBytes: minHeadBytes},
		Metrics: Share{Connections: conns(operatorConns, operatorFdPercent), HeadBytes: minHeadBytes},
	}
}

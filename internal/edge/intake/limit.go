package intake

import "time"

const (
	// memoryShare is the share of the memory of a host for the connections of callers
	// and the heads that arrive on them, and fileShare the share of its descriptors: as
	// many again are needed for servers, other hosts and the store.
	memoryShare = 0.2
	fileShare   = 0.6
	// minMemory and minConns are the least limits, so that a host with small settings
	// serves at all.
	minMemory = 1 << 20
	minConns  = 16
	// connCost is the memory in bytes that a connection takes before a head exceeds
	// freeHead: its goroutine, two buffers, and the head itself.
	connCost = 16 << 10
	freeHead = 4 << 10
	// chargeStep is the unit in which memory beyond that is charged.
	chargeStep = 4 << 10
	// maxLines bounds the lines of a head. A head of 16 KiB, the usual limit of a
	// configuration, has fewer if its lines end with CRLF and hold a field.
	maxLines = 4096
	// growShare is the share of the memory that must suffice for a head to grow, so that
	// there is room for new connections.
	growShare = 0.75
	// endingShare is the share of a limit that evicted connections, or evicted bodies, may
	// still hold beyond it until their goroutines have ended.
	endingShare = 0.25
	// evictRate is the number of connections per second and core that may be evicted
	// for new ones, and evictBurst how many at once: callers who open connections again
	// at once must not take all the processor time.
	evictRate  = 2000
	evictBurst = 32
	// admitTimeout bounds the wait of a new connection for room, and growTimeout that of
	// a head. growInterval is the interval between attempts of a head.
	admitTimeout = 100 * time.Millisecond
	growTimeout  = 2 * time.Second
	growInterval = 250 * time.Millisecond
	// minAge is how long a connection must have been without a complete request before
	// it is evicted.
	minAge = 50 * time.Millisecond
	// idleWeight divides the score of a connection between two requests: its caller has
	// completed one, and may use it again until its idle timeout, while silent ones are
	// closed after a few seconds.
	idleWeight = 100
	// ackTime is the time for the end of a response to reach the caller before the
	// connection may be evicted.
	ackTime = 300 * time.Millisecond
	// candidates is the number of connections of a list that are compared.
	candidates = 8
	// lingerTimeout and lingerBytes bound what is read after a refusal, so that its
	// response reaches the caller.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// restTimeout bounds the wait for the rest of a body that its handler did not read.
	restTimeout = 5 * time.Second
)

// Limits are the limits of a host. They apply to all its addresses together.
type Limits struct {
	// Memory is the memory in bytes of connections and heads.
	Memory int64
	// Conns is the number of open connections.
	Conns int
	// Cores is the number of processor cores; 0 means 1.
	Cores float64
}

// LimitsOf returns the limits of a host with memory in bytes, file descriptors and cores.
func LimitsOf(memory int64, files int, cores float64) Limits {
	return Limits{
		Memory: max(int64(memoryShare*float64(memory)), minMemory),
		Conns:  max(int(fileShare*float64(files)), minConns),
		Cores:  cores,
	}
}

// pace bounds the rate of evictions. The gate's mutex guards it.
type pace struct {
	rate   float64 // per second
	tokens float64
	at     time.Time
}

func newPace(cores float64) pace {
	if cores <= 0 {
		cores = 1
	}
	return pace{rate: evictRate * cores, tokens: evictBurst}
}

// take takes the right to evict one connection, if there is one.
func (p *pace) take(now time.Time) bool {
	if !p.at.IsZero() {
		p.tokens = min(p.tokens+now.Sub(p.at).Seconds()*p.rate, evictBurst)
	}
	p.at = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// interval returns the time between two evictions.
func (p *pace) interval() time.Duration {
	return max(time.Duration(float64(time.Second)/p.rate), time.Millisecond)
}

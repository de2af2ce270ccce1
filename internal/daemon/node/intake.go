package node

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/yuccalb/yuccalb/internal/adapt/meter"
	"github.com/yuccalb/yuccalb/internal/daemon/setup"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
)

const (
	// peerShare and adminShare are the shares of all connections that the addresses for
	// other hosts and for operators may have.
	peerShare  = 0.5
	adminShare = 0.05
	// bodyPart is the part of the memory for bodies of requests: one in so many.
	bodyPart = 16
	// defaultFiles is the number of file descriptors assumed if the operating system
	// does not state it.
	defaultFiles = 4096
	// intakeInterval is the interval between log lines about refused callers.
	intakeInterval = 5 * time.Second
)

// newGate returns the limits of the host for connections.
func newGate(l setup.Limits, m *meter.Metrics, log *zap.Logger) *intake.Gate {
	files := l.Files
	if files == 0 {
		files = defaultFiles
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
			files = int(min(limit.Cur, maxFiles))
		}
	}
	return intake.New(intake.LimitsOf(l.Memory<<20, files, 0), m.IntakeRefused, log.Named("intake"))
}

// maxFiles bounds the number of file descriptors that the operating system states, which
// may be unlimited.
const maxFiles = 1 << 20

// reportIntake logs at intervals how many callers were refused, until the planned stop.
func (n *Node) reportIntake() {
	t := time.NewTicker(intakeInterval)
	defer t.Stop()
	for {
		select {
		case <-n.closing:
			return
		case <-t.C:
			n.gate.Report()
		}
	}
}

package send

import "testing"

// TestUserTimeoutAllowsProbes guards against connections that are closed while their server is
// silent for little more than a second: TCP_USER_TIMEOUT also ends the keep-alive probes,
// whatever their count.
func TestUserTimeoutAllowsProbes(t *testing.T) {
	if last := probeIdle + probeCount*probeInterval; ackTimeout < last {
		t.Errorf("TCP_USER_TIMEOUT %v closes a connection before the answer to the last of %d probes is due, %v after the last byte", ackTimeout, probeCount, last)
	}
}

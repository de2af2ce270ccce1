// Package proc runs daemons as processes for tests. It starts and restarts them, sends
// them signals and keeps their output.
package proc

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// logTail is the number of bytes at the end of the log that State returns.
const logTail = 16 << 10

// Build builds the command in the current directory and returns the path of the
// executable, which is written to dir.
func Build(dir string) (string, error) {
	bin := filepath.Join(dir, "daemon")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return bin, nil
}

// Process is a daemon whose argument is its settings file. It is safe for concurrent use.
type Process struct {
	bin, settings string
	log           *os.File

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	err       error // result of the process that ended last
	testEnded bool  // the test has ended, so that the process is not started again
	// restarting is set while Restart waits for the end of the process. Repeated
	// calls of Restart in this time start it only once.
	restarting bool
}

// New returns a process that has not been started. At the end of the test it is killed,
// and its log file is deleted unless the test has failed.
func New(t testing.TB, bin, settings string) *Process {
	t.Helper()
	log, err := os.CreateTemp("", "daemon-*.log")
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{bin: bin, settings: settings, log: log}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s %s, %s", filepath.Base(bin), settings, p.State())
		} else {
			_ = os.Remove(log.Name()) // a leftover file is harmless
		}
		_ = log.Close() // the process has ended
	})
	return p
}

// Start starts the process, unless the test has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.testEnded {
		return nil
	}
	cmd := exec.Command(p.bin, p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.bin, err)
	}
	ended := make(chan struct{})
	p.cmd = cmd
	p.ended = ended
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, which must have been started.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("signal %s: %w", sig, err)
	}
	return nil
}

// PeakMemory returns the largest memory in bytes that the running process has had in use.
func (p *Process) PeakMemory() (int64, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read state of process: %w", err)
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	var kb int64
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		return 0, fmt.Errorf("peak memory of process %d: %w", pid, err)
	}
	return kb << 10, nil
}

// OpenFiles returns the number of file descriptors that the running process has open.
func (p *Process) OpenFiles() (int, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("read open files of process: %w", err)
	}
	return len(files), nil
}

// Owns reports whether the process has the socket with an inode open.
func (p *Process) Owns(inode string) bool {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return false
	}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", cmd.Process.Pid)) // the pattern is valid
	for _, file := range files {
		if name, err := os.Readlink(file); err == nil && name == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// SocketInode returns the inode of the TCP socket that is bound to an IPv4 address of this
// machine and connected, empty if there is none.
func SocketInode(addr netip.AddrPort) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	ip := addr.Addr().As4()
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), addr.Port())
	for line := range strings.Lines(string(table)) {
		const localColumn, inodeColumn = 1, 9
		if f := strings.Fields(line); len(f) > inodeColumn && f[localColumn] == local {
			return f[inodeColumn]
		}
	}
	return ""
}

// Wait waits for the end of the process and returns its error.
func (p *Process) Wait() error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Restart ends the process with a signal and returns. The process is started again once
// it has ended. A stopped process is continued first.
func (p *Process) Restart(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails if it has ended
	_ = p.cmd.Process.Signal(sig)
	if p.restarting {
		return
	}
	p.restarting = true
	ended := p.ended
	go func() {
		<-ended
		p.mu.Lock()
		p.restarting = false
		p.mu.Unlock()
		_ = p.Start() // the test detects a daemon that does not serve
	}()
}

// Log returns the output of the process since the first start.
func (p *Process) Log() string {
	b, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// State describes whether the process is running, and returns the end of its log.
func (p *Process) State() string {
	log := p.Log()
	p.mu.Lock()
	defer p.mu.Unlock()
	state := "not started"
	if p.cmd != nil {
		state = "running"
		select {
		case <-p.ended:
			state = "ended: " + p.cmd.ProcessState.String()
		default:
		}
	}
	return fmt.Sprintf("%s, end of the log %s:\n%s", state, p.log.Name(), log[max(0, len(log)-logTail):])
}

// kill ends the process, prevents further starts and waits for its end.
func (p *Process) kill() {
	p.mu.Lock()
	p.testEnded = true
	if p.cmd == nil {
		p.mu.Unlock()
		return
	}
	ended := p.ended
	_ = p.cmd.Process.Kill() // fails if it has ended
	p.mu.Unlock()
	<-ended
}

package guardtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Process is a daemon that runs as a process of its own, with the peaks of what it used.
type Process struct {
	t     testing.TB
	cmd   *exec.Cmd
	ports map[string]bool // local ports whose socket buffers count, in the kernel's notation
	ended chan struct{}
	err   error // of the process, once ended is closed

	stopSampling chan struct{}
	sampled      sync.WaitGroup

	mu   sync.Mutex
	peak Usage
}

// Usage is what a process uses.
type Usage struct {
	ResidentBytes int64 // its own memory
	QueuedBytes   int64 // bytes in the kernel's buffers of its connections
	Descriptors   int
	Sockets       int
}

// Limits are the resources of the machine of a process.
type Limits struct {
	MemoryBytes int64
	Descriptors int
	// FileDescriptors of the Descriptors are not for sockets.
	FileDescriptors int
}

// Start starts a program and samples what it uses until the test ends. Addresses are those on which the
// process listens.
func Start(t testing.TB, cmd *exec.Cmd, addresses ...string) *Process {
	t.Helper()
	p := &Process{t: t, cmd: cmd, ports: map[string]bool{}, ended: make(chan struct{}), stopSampling: make(chan struct{})}
	for _, address := range addresses {
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		number, err := strconv.Atoi(port)
		if err != nil {
			t.Fatal(err)
		}
		p.ports[fmt.Sprintf("%04X", number)] = true
	}
	var output bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &output
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		p.err = cmd.Wait()
	}()
	p.sampled.Go(p.sample)
	t.Cleanup(func() {
		close(p.stopSampling)
		p.sampled.Wait()
		cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("end of the log:\n%s", output.Bytes()[max(0, output.Len()-2000):])
		}
	})
	return p
}

// Stop sends SIGTERM and waits for the end of the process.
func (p *Process) Stop() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(time.Minute):
		p.t.Error("process is still running a minute after SIGTERM")
	}
}

// AssertRunning fails the test if the process has ended.
func (p *Process) AssertRunning() {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Errorf("process has ended: %v", p.err)
	default:
	}
}

// AssertWithin fails the test if the process has used more than limits.
func (p *Process) AssertWithin(limits Limits) {
	p.t.Helper()
	p.mu.Lock()
	peak := p.peak
	p.mu.Unlock()
	memory := peak.ResidentBytes + peak.QueuedBytes
	p.t.Logf("peak: %.1f MiB in the process, %.1f MiB in its sockets, %d descriptors, %d of them sockets",
		mebibytes(peak.ResidentBytes), mebibytes(peak.QueuedBytes), peak.Descriptors, peak.Sockets)
	if peak.ResidentBytes == 0 {
		p.t.Error("process was never sampled")
	}
	if memory > limits.MemoryBytes {
		p.t.Errorf("memory: got %.1f MiB, want at most %.1f MiB", mebibytes(memory), mebibytes(limits.MemoryBytes))
	}
	if peak.Descriptors > limits.Descriptors {
		p.t.Errorf("descriptors: got %d, want at most %d", peak.Descriptors, limits.Descriptors)
	}
	if most := limits.Descriptors - limits.FileDescriptors; peak.Sockets > most {
		p.t.Errorf("sockets: got %d, want at most %d", peak.Sockets, most)
	}
}

func mebibytes(n int64) float64 { return float64(n) / (1 << 20) }

const sampleInterval = 20 * time.Millisecond

func (p *Process) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopSampling:
			return
		case <-p.ended:
			return
		case <-ticker.C:
		}
		usage := p.usage()
		p.mu.Lock()
		p.peak.ResidentBytes = max(p.peak.ResidentBytes, usage.ResidentBytes)
		p.peak.QueuedBytes = max(p.peak.QueuedBytes, usage.QueuedBytes)
		p.peak.Descriptors = max(p.peak.Descriptors, usage.Descriptors)
		p.peak.Sockets = max(p.peak.Sockets, usage.Sockets)
		p.mu.Unlock()
	}
}

func (p *Process) usage() Usage {
	usage := Usage{ResidentBytes: p.peakResident(), QueuedBytes: p.queued()}
	directory := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, _ := os.ReadDir(directory)
	usage.Descriptors = len(entries)
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(directory, entry.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			usage.Sockets++
		}
	}
	return usage
}

// peakResident returns the largest resident memory of the process so far.
func (p *Process) peakResident() int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// queued returns the bytes in the send and receive buffers of the process's listening ports.
func (p *Process) queued() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		p.t.Error(err)
		return 0
	}
	defer file.Close()
	table, _ := io.ReadAll(file)
	total := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if !p.ports[port] {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			total += n
		}
	}
	return total
}

// listening is the state of a listening socket, whose queue counts connections.
const listening = "0A"

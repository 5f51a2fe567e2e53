//go:build linux && amd64

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"olivearch/internal/standin/scripted"
)

// Some environments deny system calls that the program uses where it can. To test this, the test binary installs a
// filter on itself by seccomp(2), which needs no privileges, and executes the program. The filter denies splice
// (EINVAL), and sendfile, io_uring, fork, vfork, clone3 and clone of processes (ENOSYS).
const (
	filterVariable  = "OLIVEARCH_TEST_REFUSE" // a filterMode
	programVariable = "OLIVEARCH_TEST_BECOME" // the path of the program
)

// filterMode says what happens under the filter.
type filterMode string

const (
	spliceDenied filterMode = "refused" // splice fails
	spliceFatal  filterMode = "fatal"   // splice ends the process
	probeFilter  filterMode = "probe"   // instead of executing the program, try the calls and print whether each is denied
)

const exitFilterFailed = 3

func init() {
	mode := filterMode(os.Getenv(filterVariable))
	if mode == "" {
		return
	}
	if err := installFilter(mode == spliceFatal); err != nil {
		fmt.Fprintln(os.Stderr, "installing the filter:", err)
		os.Exit(exitFilterFailed)
	}
	if mode == probeFilter {
		printDenied()
		os.Exit(0)
	}
	path := os.Getenv(programVariable)
	fmt.Fprintln(os.Stderr, syscall.Exec(path, []string{path}, os.Environ()))
	os.Exit(exitFilterFailed)
}

// printDenied prints whether each kind of call is denied.
func printDenied() {
	_, splice := unix.Splice(-1, nil, -1, nil, 1, 0)
	_, _, ring := syscall.RawSyscall(unix.SYS_IO_URING_SETUP, 1, 0, 0)
	_, sendfile := unix.Sendfile(-1, -1, nil, 1)
	_, fork := syscall.ForkExec("/proc/self/exe", []string{"x"}, nil)
	fmt.Println(
		errors.Is(splice, unix.EINVAL),
		errors.Is(ring, unix.ENOSYS),
		errors.Is(sendfile, unix.ENOSYS),
		errors.Is(fork, unix.ENOSYS),
	)
}

// Constants of <linux/audit.h> and <linux/seccomp.h> that package unix lacks.
const (
	auditArchX8664          = 0xc000003e // AUDIT_ARCH_X86_64
	seccompAllow            = 0x7fff0000 // SECCOMP_RET_ALLOW
	seccompErrno            = 0x00050000 // SECCOMP_RET_ERRNO
	seccompKillProcess      = 0x80000000 // SECCOMP_RET_KILL_PROCESS
	seccompSetModeFilter    = 1          // SECCOMP_SET_MODE_FILTER
	seccompFilterAllThreads = 1          // SECCOMP_FILTER_FLAG_TSYNC

	// Offsets in struct seccomp_data.
	offsetCall          = 0
	offsetArch          = 4
	offsetFirstArgument = 16
)

// Instructions of a BPF filter.

func bpfLoad(offset uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
}

// bpfJump tests the loaded word against an operand, and skips ifTrue instructions if the test holds, else ifFalse.
func bpfJump(test uint16, operand uint32, ifTrue, ifFalse uint8) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_JMP | test | unix.BPF_K, K: operand, Jt: ifTrue, Jf: ifFalse}
}

func bpfReturn(result uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: result}
}

// installFilter installs the filter on all threads of this process. It stays in force for a program executed later.
func installFilter(spliceIsFatal bool) error {
	filter := filterProgram(spliceIsFatal)
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	_, _, errno := syscall.Syscall(unix.SYS_SECCOMP, seccompSetModeFilter, seccompFilterAllThreads,
		uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return errno
	}
	return nil
}

func filterProgram(spliceIsFatal bool) []unix.SockFilter {
	noSuchCall := bpfReturn(seccompErrno | uint32(unix.ENOSYS))
	splice := bpfReturn(seccompErrno | uint32(unix.EINVAL))
	if spliceIsFatal {
		splice = bpfReturn(seccompKillProcess)
	}
	filter := []unix.SockFilter{
		bpfLoad(offsetArch),
		bpfJump(unix.BPF_JEQ, auditArchX8664, 1, 0),
		bpfReturn(seccompAllow),
		bpfLoad(offsetCall),
		bpfJump(unix.BPF_JEQ, unix.SYS_SPLICE, 0, 1),
		splice,
	}
	for _, call := range []uint32{
		unix.SYS_SENDFILE,
		unix.SYS_IO_URING_SETUP, unix.SYS_IO_URING_ENTER, unix.SYS_IO_URING_REGISTER,
		unix.SYS_FORK, unix.SYS_VFORK, unix.SYS_CLONE3,
	} {
		filter = append(filter, bpfJump(unix.BPF_JEQ, call, 0, 1), noSuchCall)
	}
	// clone is denied, except for new threads.
	return append(filter,
		bpfJump(unix.BPF_JEQ, unix.SYS_CLONE, 0, 3),
		bpfLoad(offsetFirstArgument),
		bpfJump(unix.BPF_JSET, unix.CLONE_THREAD, 1, 0),
		noSuchCall,
		bpfReturn(seccompAllow),
	)
}

// filteredProcess is the program under the filter.
type filteredProcess struct {
	cmd    *exec.Cmd
	log    *bytes.Buffer // to be read once the process has ended
	listen string
}

// startFiltered starts the program under the filter, with the given folder for temporary files, and returns once it is
// healthy.
func startFiltered(t *testing.T, mode filterMode, discovery, temporary string) *filteredProcess {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	listen := scripted.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, fmt.Sprintf(platformConfig, listen, discovery))
	p := &filteredProcess{cmd: exec.Command(self), log: &bytes.Buffer{}, listen: listen}
	p.cmd.Env = append(os.Environ(),
		filterVariable+"="+string(mode), programVariable+"="+buildProgram(t),
		"RELAY_CONFIG="+path, "TMPDIR="+temporary)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		killAndWait(p.cmd)
		if t.Failed() {
			t.Logf("its log: %s", p.log)
		}
	})
	waitUntil(t, 30*time.Second, "healthy", func() bool { return isHealthy(listen) })
	return p
}

// sendBody sends a body of the given size after the header, in a separate write, so that a part of it arrives after an
// upstream has been chosen. It returns the body of the answer.
func (p *filteredProcess) sendBody(size int) (string, error) {
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, requestHeader(fmt.Sprintf("%016x", size), size)); err != nil {
		return "", err
	}
	if _, err := conn.Write(bytes.Repeat([]byte("0123456789abcdef"), size/16)); err != nil {
		return "", err
	}
	got, err := readAnswer(bufio.NewReader(conn))
	return got.body, err
}

// listenSilently listens at the Unix socket of a previous process of the program, and never answers.
func listenSilently(t *testing.T, temporary string) {
	t.Helper()
	address := &net.UnixAddr{Name: filepath.Join(temporary, "olivearch-n0.sock"), Net: "unixpacket"}
	listener, err := net.ListenUnix("unixpacket", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
}

func requireFilterWorks(t *testing.T) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	probe := exec.Command(self)
	probe.Env = append(os.Environ(), filterVariable+"="+string(probeFilter))
	if out, err := probe.CombinedOutput(); err != nil || strings.TrimSpace(string(out)) != "true true true true" {
		t.Fatalf("the filter doesn't work: %v %s", err, out)
	}
}

// TestSystemCallsThatAreRefused: if splice is denied, bodies are copied instead. The case "fatal" shows that the
// program would use splice. The program works without the other denied calls, and starts although nothing answers at
// the Unix socket of a previous process.
func TestSystemCallsThatAreRefused(t *testing.T) {
	requireFilterWorks(t)
	const size = 4 << 20
	discovery := startDiscovery(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
		received, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			t.Log(err)
		}
		respondText(t, w, fmt.Sprint(received))
	}).Listener.Addr().String()

	t.Run("denied", func(t *testing.T) {
		temporary := t.TempDir()
		listenSilently(t, temporary)
		process := startFiltered(t, spliceDenied, discovery, temporary)
		waitUntil(t, 20*time.Second, "answered", func() bool { // the endpoint list may not have come yet
			got, err := process.sendBody(size)
			if err != nil {
				t.Fatalf("splice is denied: %v", err)
			}
			return got == fmt.Sprint(size)
		})
		sendSignal(t, process.cmd, syscall.SIGTERM)
		if err := process.cmd.Wait(); err != nil {
			t.Errorf("ended with %v", err)
		}
		if !strings.Contains(process.log.String(), "previous process not taken over") {
			t.Error("the silent socket is not logged")
		}
	})

	t.Run("fatal", func(t *testing.T) {
		temporary := t.TempDir()
		listenSilently(t, temporary)
		process := startFiltered(t, spliceFatal, discovery, temporary)
		waitUntil(t, 20*time.Second, "killed at a splice", func() bool {
			got, err := process.sendBody(size)
			if got != "" {
				t.Fatal("a body was sent although splice is fatal: the case denied does not test splice")
			}
			return err != nil
		})
		killed := &exec.ExitError{}
		if err := process.cmd.Wait(); !errors.As(err, &killed) {
			t.Fatalf("ended with %v", err)
		}
		status, ok := killed.Sys().(syscall.WaitStatus)
		if !ok || !status.Signaled() || status.Signal() != syscall.SIGSYS {
			t.Errorf("ended by %v", killed)
		}
	})
}

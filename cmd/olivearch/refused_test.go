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
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Some places to run refuse system calls that the program would like to use. This test's own binary lays a filter on itself (seccomp(2),
// which needs no rights) and becomes the program: refused are splice (EINVAL), sendfile, io_uring, fork and the like (ENOSYS).
const (
	refuseVariable = "OLIVEARCH_TEST_REFUSE" // what splice meets: "refused" or "fatal"; "probe": try the calls instead of a program
	becomeVariable = "OLIVEARCH_TEST_BECOME" // the program
)

func init() {
	how := os.Getenv(refuseVariable)
	if how == "" {
		return
	}
	if err := refuse(how == "fatal"); err != nil {
		fmt.Fprintln(os.Stderr, "laying the filter:", err)
		os.Exit(3)
	}
	if how == "probe" {
		_, err := unix.Splice(-1, nil, -1, nil, 1, 0)
		_, _, ring := syscall.RawSyscall(unix.SYS_IO_URING_SETUP, 1, 0, 0)
		_, file := unix.Sendfile(-1, -1, nil, 1)
		_, fork := syscall.ForkExec("/proc/self/exe", []string{"x"}, nil)
		fmt.Println(err == unix.EINVAL, ring == unix.ENOSYS, file == unix.ENOSYS, errors.Is(fork, unix.ENOSYS))
		os.Exit(0)
	}
	program := os.Getenv(becomeVariable)
	fmt.Fprintln(os.Stderr, syscall.Exec(program, []string{program}, os.Environ()))
	os.Exit(3)
}

// refuse lays the filter on all threads of this process and on what it becomes. With fatal, splice ends the process instead.
func refuse(fatal bool) error {
	const (
		auditX86 = 0xc000003e // AUDIT_ARCH_X86_64, <linux/audit.h>
		allow    = 0x7fff0000 // SECCOMP_RET_ALLOW
		fail     = 0x00050000 // SECCOMP_RET_ERRNO
		kill     = 0x80000000 // SECCOMP_RET_KILL_PROCESS
		setMode  = 1          // SECCOMP_SET_MODE_FILTER
		threads  = 1          // SECCOMP_FILTER_FLAG_TSYNC
	)
	load := func(at uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: at}
	}
	jump := func(test uint16, k uint32, yes, no uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | test | unix.BPF_K, K: k, Jt: yes, Jf: no}
	}
	end := func(k uint32) unix.SockFilter { return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: k} }
	splice := end(fail | uint32(unix.EINVAL))
	if fatal {
		splice = end(kill)
	}
	filter := []unix.SockFilter{load(4), jump(unix.BPF_JEQ, auditX86, 1, 0), end(allow), load(0), jump(unix.BPF_JEQ, unix.SYS_SPLICE, 0, 1), splice}
	for _, call := range []uint32{unix.SYS_SENDFILE, unix.SYS_IO_URING_SETUP, unix.SYS_IO_URING_ENTER, unix.SYS_IO_URING_REGISTER, unix.SYS_FORK, unix.SYS_VFORK, unix.SYS_CLONE3} {
		filter = append(filter, jump(unix.BPF_JEQ, call, 0, 1), end(fail|uint32(unix.ENOSYS)))
	}
	// A new thread is no new process.
	filter = append(filter, jump(unix.BPF_JEQ, unix.SYS_CLONE, 0, 3), load(16), jump(unix.BPF_JSET, unix.CLONE_THREAD, 1, 0), end(fail|uint32(unix.ENOSYS)), end(allow))
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if _, _, err := syscall.Syscall(unix.SYS_SECCOMP, setMode, threads, uintptr(unsafe.Pointer(&program))); err != 0 {
		return err
	}
	return nil
}

// filtered starts the program under the filter, on its own disk, and returns once it is healthy.
func filtered(t *testing.T, how, listen, discovery, temporary string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(platformConfig, listen, discovery)), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := exec.Command(self), &bytes.Buffer{}
	cmd.Env = append(os.Environ(), refuseVariable+"="+how, becomeVariable+"="+build(t), "RELAY_CONFIG="+path, "TMPDIR="+temporary)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if r, err := http.Get("http://" + listen + "/healthz"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return cmd, log
			}
		}
		if time.Now().After(end) {
			cmd.Process.Kill()
			cmd.Wait()
			t.Fatalf("not healthy in time: %s", log)
		}
	}
}

// send sends a body of so many bytes in two parts, so that some of it comes when its node has been chosen, and returns the answer.
func send(listen string, size int) (string, error) {
	c, err := net.Dial("tcp", listen)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "POST /c HTTP/1.1\r\nHost: x\r\nX-Class: c\r\nX-Request-Id: %016x\r\nContent-Length: %d\r\n\r\n", size, size)
	body := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	if _, err := c.Write(body); err != nil {
		return "", err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return string(text), err
}

// Where splice is refused bodies go on by copying; that they would be spliced shows where splice is fatal. Nothing else that is refused
// is missed, and a Unix socket at which nobody answers, or nobody is, keeps nothing from starting.
func TestSystemCallsThatAreRefused(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	probe := exec.Command(self)
	probe.Env = append(os.Environ(), refuseVariable+"=probe")
	if out, err := probe.CombinedOutput(); err != nil || strings.TrimSpace(string(out)) != "true true true true" {
		t.Fatalf("the filter does not bite: %v %s", err, out)
	}
	const size = 4 << 20
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	}))
	defer node.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") == "7" {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
		}
		fmt.Fprintf(w, `{"revision":7,"complete":true,"members":[{"id":"s-00000001","host_port":"%s","phase":"up","size":1}]}`, node.Listener.Addr())
	}))
	defer discovery.Close()
	for _, how := range []string{"refused", "fatal"} {
		listen, temporary := free(t), t.TempDir()
		// Where the program's own old process would answer, somebody takes connections and says nothing.
		mute, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(temporary, "olivearch-n0.sock"), Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		defer mute.Close()
		cmd, log := filtered(t, how, listen, discovery.Listener.Addr().String(), temporary)
		answer := ""
		for end := time.Now().Add(20 * time.Second); answer == "" && err == nil && time.Now().Before(end); { // until its list has come
			if answer, err = send(listen, size); answer != fmt.Sprint(size) && how == "refused" {
				answer = ""
			}
		}
		switch how {
		case "refused":
			if answer != fmt.Sprint(size) || err != nil {
				t.Errorf("splice is refused: %q %v\n%s", answer, err, log)
			}
			cmd.Process.Signal(syscall.SIGTERM)
			if err := cmd.Wait(); err != nil {
				t.Errorf("ended with %v\n%s", err, log)
			}
			if !strings.Contains(log.String(), "previous process not taken over") {
				t.Errorf("nothing is said of the mute socket: %s", log)
			}
		case "fatal":
			if err == nil {
				t.Error("a body went through where splice is fatal: the other case shows nothing")
			}
			cmd.Wait()
			if status := cmd.ProcessState.Sys().(syscall.WaitStatus); !status.Signaled() || status.Signal() != syscall.SIGSYS {
				t.Errorf("it ended by %v\n%s", cmd.ProcessState, log)
			}
		}
	}
}

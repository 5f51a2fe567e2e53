//go:build review

// Command coordinator-killed: a coordination server that is killed right after it has stored the leader's snapshot panics at
// its next start.
package main

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
	"olivearch/review/stand"
)

const (
	overrides = 3200
	reason    = 500     // bytes of each override's reason
	large     = 1 << 20 // bytes from which on the file has the snapshot, or is about to
	rejoin    = 13 * time.Second
	tries     = 3
)

func main() { stand.Main(run) }

func run(w *stand.World) (int, error) {
	cluster, err := w.StartCluster("k1", "k2", "k3")
	if err != nil {
		return 0, err
	}
	if err := fill(cluster.Addresses); err != nil {
		return 0, err
	}
	folder := filepath.Join(w.Folder, "data-k3")
	for try := range tries {
		// The machine of k3 is lost, and an empty server started under its name and address.
		w.Signal(cluster.Server("k3"), syscall.SIGKILL)
		<-cluster.Server("k3").Ended()
		if err := os.RemoveAll(folder); err != nil {
			return 0, err
		}
		if err := cluster.StartServer("k3"); err != nil {
			return 0, err
		}
		if err := awaitSnapshot(filepath.Join(folder, "ledger.db")); err != nil {
			return 0, err
		}
		if w.Trouble {
			w.Signal(cluster.Server("k3"), syscall.SIGKILL)
			<-cluster.Server("k3").Ended()
			if err := cluster.StartServer("k3"); err != nil {
				return 0, err
			}
		}
		select {
		case <-cluster.Server("k3").Ended():
			log, _, _ := strings.Cut(w.Log("k3"), "\n")
			w.Say("BROKEN: try %d: k3 was killed as it joined, and ends by itself at its next start: %s", try+1, log)
			return stand.RuleBroken, nil
		case <-time.After(3 * time.Second):
		}
	}
	w.Say("held: k3 started again in each of %d tries", tries)
	return stand.RuleHeld, nil
}

// fill sets overrides, so that the cluster's snapshot is of some size.
func fill(addresses map[string]string) error {
	operators := client.New("operators", addresses)
	defer operators.Close()
	var mu sync.Mutex
	var failed error
	var group sync.WaitGroup
	const callers = 16
	for caller := range callers {
		group.Go(func() {
			for i := range overrides / callers {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				_, err := operators.Propose(ctx, &state.SetOverride{
					Subject: state.Subject{
						Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: fmt.Sprintf("s-%d-%d", caller, i),
					},
					By: "operators", Reason: strings.Repeat("r", reason),
				})
				cancel()
				mu.Lock()
				failed = errors.Join(failed, err)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return failed
}

// awaitSnapshot waits until a transaction of the file has made it large.
func awaitSnapshot(path string) error {
	end := time.Now().Add(rejoin + 5*time.Second)
	var file *os.File
	var err error
	for file == nil {
		if file, err = os.Open(path); err != nil && time.Now().After(end) {
			return err
		}
	}
	defer file.Close()
	last := transaction(file)
	for isLarge := false; time.Now().Before(end); {
		now := transaction(file)
		if now != last && isLarge {
			return nil
		}
		last = now
		info, err := file.Stat()
		isLarge = isLarge || (err == nil && info.Size() > large)
		if !isLarge {
			time.Sleep(100 * time.Microsecond)
		}
	}
	return errors.New("k3 has not got a snapshot")
}

// transaction returns the number of the file's newest transaction, from its two meta pages.
func transaction(file *os.File) (newest uint64) {
	const offset = 64
	var number [8]byte
	for page := range 2 {
		if _, err := file.ReadAt(number[:], int64(page*os.Getpagesize()+offset)); err == nil {
			newest = max(newest, binary.NativeEndian.Uint64(number[:]))
		}
	}
	return newest
}

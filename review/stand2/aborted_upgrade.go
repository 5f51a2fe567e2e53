//go:build review

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { plays["aborted-upgrade"] = playAbortedUpgrade }

// playAbortedUpgrade: an upstream is out of service by hand. The first new process of an upgrade is not ready and is
// ended, as the page says; the next one takes the old one's place. The upstream has to stay out of service.
func playAbortedUpgrade(set *stage) ([]string, error) {
	site, err := set.site(20 * time.Millisecond)
	if err != nil {
		return nil, err
	}
	load := set.traffic(site.listen)
	time.Sleep(2 * time.Second)
	out := site.upstreams[0]
	answer, err := site.balancer.operator("maint-on " + out.id)
	if err != nil || !strings.HasPrefix(answer, "+OK") {
		return nil, fmt.Errorf("maint-on: %s, %w", answer, err)
	}
	taken := time.Now()
	time.Sleep(3 * time.Second)
	if sent := out.since(taken.Add(50 * time.Millisecond)); sent > 0 {
		return nil, fmt.Errorf("%d requests went to %s before the upgrade", sent, out.id)
	}
	if set.trouble {
		if err := set.abortUpgrade(site); err != nil {
			return nil, err
		}
	}
	began := time.Now()
	if _, err := set.balancer("next", site.config); err != nil {
		return nil, err
	}
	set.note("SIGTERM to the old process")
	site.balancer.signal(syscall.SIGTERM)
	time.Sleep(8 * time.Second)
	set.note("clients: answers by status:%s", load.stop())
	if sent := out.since(began); sent > 0 {
		return []string{fmt.Sprintf("%d new requests went to %s, which is out of service", sent, out.id)}, nil
	}
	return nil, nil
}

// abortUpgrade starts a new process, and ends it before it answers +OK.
func (s *stage) abortUpgrade(site *deployment) error {
	aborted, err := s.newProcess("aborted", site.config)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	answer, err := aborted.operator("status")
	if err != nil || strings.HasPrefix(answer, "+OK") {
		return fmt.Errorf("status of the process to be ended: %s, %w", answer, err)
	}
	s.note("SIGTERM to the new process, which is not ready")
	aborted.signal(syscall.SIGTERM)
	<-aborted.ended
	time.Sleep(time.Second)
	return nil
}

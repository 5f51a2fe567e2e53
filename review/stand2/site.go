//go:build review

package main

import (
	"fmt"
	"time"
)

// deployment is a small one: three upstreams, discovery and one balancer.
type deployment struct {
	upstreams []*upstream
	discovery *discovery
	listen    string
	config    string // path
	balancer  *process
}

// site starts a deployment whose upstreams work for some time on each request, and waits until the balancer is ready.
func (s *stage) site(work time.Duration, env ...string) (*deployment, error) {
	built := &deployment{}
	for number := range 3 {
		server, err := s.upstream(fmt.Sprintf("s-%08d", number+1), work)
		if err != nil {
			return nil, err
		}
		built.upstreams = append(built.upstreams, server)
	}
	var err error
	if built.discovery, err = s.discovery("A", 41, built.upstreams...); err != nil {
		return nil, err
	}
	if built.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	known := built.discovery.list()
	if built.config, err = s.writeConfig(checkin, built.listen, built.discovery.address, known); err != nil {
		return nil, err
	}
	built.balancer, err = s.balancer("old", built.config, env...)
	return built, err
}

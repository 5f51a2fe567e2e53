package faulttest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"text/template"
	"time"
)

// service is the configuration of "olivearch serve" for a script's class and nodes.
var service = template.Must(template.New("service").Parse(`listeners:
  - address: '{{.Listen}}'
limits: {memory: {{.MemoryMB}}MiB, descriptors: {{.Descriptors}}}
instances: {count: {{.Count}}, rank: {{.Rank}}, zone: {{.Zone}}}
classes:
  c: {repeat: {{.Repeat}}, {{if eq .Repeat "keyed"}}group: all, memory: {{.Memory}}, {{end}}aim: {{.Aim}}, deadline: {{.Deadline}}}
rules: {cold_from: {{.ColdFrom}}, ramp_time: {{.RampTime}}, tip_multiple: {{.TipMultiple}}, tip_after: {{.TipAfter}}}
pools:
  p:
    nodes: {discovery: '{{.Discovery}}', keep: '{{.Keep}}'}
    connect_timeout: 250ms
    queue: 64
routes:
  - {name: all, class: c, pool: p}
`))

// serving writes a configuration and says how to start a process that serves it.
func (b *balancer) serving(temporary string) (*exec.Cmd, error) {
	f := b.f
	path := filepath.Join(b.folder, "olivearch.yaml")
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	err = service.Execute(file, map[string]any{
		"Listen": b.address, "MemoryMB": int64(f.Balancers.Memory) >> 20, "Descriptors": f.Balancers.Descriptors,
		"Count": f.Balancers.Count, "Rank": b.index, "Zone": b.zone, "Repeat": f.Load.Repeat, "Memory": keyMemory,
		"Aim": time.Duration(f.Load.Aim), "Deadline": time.Duration(f.Load.Deadline), "ColdFrom": f.Nodes.ColdFrom, "RampTime": time.Duration(f.Nodes.RampTime),
		"TipMultiple": f.Nodes.TipMultiple, "TipAfter": time.Duration(f.Nodes.TipAfter), "Discovery": b.listService.At(b.index),
		"Keep": filepath.Join(b.folder, "nodes.kept"),
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	b.born(b.index)
	b.list.forget(b.index, listing{}) // what it has kept, only it knows: all that it may send to it has been told
	cmd := exec.Command(b.program, "serve", "--config", path)
	cmd.Env = b.environment(temporary)
	return cmd, nil
}

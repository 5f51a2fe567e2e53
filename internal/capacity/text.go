package capacity

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

// The limits that a configuration states, the same for every size: room for 490 pools, and within what a process may use.
const (
	Memory      = 384 << 20
	Descriptors = 5000
	clients     = 2000
	bodies      = 16 << 20
)

// Host is the name by which requests reach a service, and Tenant that of a customer.
func Host(service int) string { return fmt.Sprintf("s%03d.svc.example.org", service) }

// Tenant is the name of a customer.
func Tenant(tenant int) string { return fmt.Sprintf("t-%06d", tenant) }

// AddedHost is the host of the added route with a number.
func AddedHost(added int) string { return fmt.Sprintf("added-%d.svc.example.org", added) }

// Places are where a site's configuration says that things are.
type Places struct {
	Listen  string // address for clients
	Admin   string // address of the admin listener; empty: none
	Lists   string // folder of the lists, in which Folders more are made if that is over 1
	Folders int
	Node    func(node int) string // address of a node
}

// list is the file of a service's list.
func (p *Places) list(service int) string {
	folder := p.Lists
	if p.Folders > 1 {
		folder = filepath.Join(folder, fmt.Sprintf("f%03d", service%p.Folders))
	}
	return filepath.Join(folder, fmt.Sprintf("s%03d.yaml", service))
}

// Edit is how a configuration differs from the first one.
type Edit struct {
	Comment int // a number in a comment line
	Added   int // the number of an added route; 0: none
	Quota   int // the first tenant's quota, where there are tenants; 0: as drawn
}

// Config is the configuration file's text.
func (s *Site) Config(p *Places, e Edit) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Change %d\nlisteners:\n  - {address: '%s', connections: %d}\n", e.Comment, p.Listen, clients)
	if p.Admin != "" {
		fmt.Fprintf(&b, "admin: {address: '%s'}\n", p.Admin)
	}
	fmt.Fprintf(&b, "limits: {memory: %dMiB, descriptors: %d, bodies: %dMiB}\ninstances: {zone: %s}\nclasses:\n", Memory>>20, Descriptors, bodies>>20, Zone(0))
	fmt.Fprint(&b, "  order: {repeat: unsafe, aim: 250ms, deadline: 2s}\n  read: {repeat: safe, aim: 250ms, deadline: 1s, worth: 0.5}\n")
	if len(s.Quotas) > 0 {
		fmt.Fprint(&b, "tenants:\n")
	}
	for i, q := range s.Quotas {
		if i == 0 && e.Quota > 0 {
			q = float64(e.Quota)
		}
		fmt.Fprintf(&b, "  %s: {quota: %g}\n", Tenant(i), q)
	}
	fmt.Fprint(&b, "pools:\n")
	for i, x := range s.Services {
		connections, queue := 4, 2
		switch rank := s.ranks[i]; {
		case rank < 8:
			connections, queue = 64, 64
		case rank < 64:
			queue = 8
		}
		fmt.Fprintf(&b, "  %s: {nodes: {file: '%s'}, connections: %d, queue: %d}\n", x.Name, p.list(i), connections, queue)
	}
	fmt.Fprint(&b, "routes:\n")
	if e.Added > 0 {
		fmt.Fprintf(&b, "  - {name: added-%d, hosts: [%s], class: read, pool: %s}\n", e.Added, AddedHost(e.Added), s.Services[0].Name)
	}
	for _, r := range s.routes {
		name := s.Services[r.service].Name
		fmt.Fprintf(&b, "  - {name: %s-%d, hosts: [%s], ", name, r.number, Host(r.service))
		switch n := r.number; {
		case n == 0: // any path
		case n%4 == 0:
			fmt.Fprintf(&b, "path: {exact: /a%d/list}, ", n)
		case n%4 == 1:
			fmt.Fprintf(&b, "path: {pattern: '/a%d/{id}/item'}, ", n)
		default:
			fmt.Fprintf(&b, "path: {prefix: /a%d}, ", n)
		}
		if r.number%3 == 1 {
			fmt.Fprint(&b, "methods: [POST], class: order, ")
		} else {
			fmt.Fprint(&b, "class: read, ")
		}
		fmt.Fprintf(&b, "pool: %s}\n", name)
	}
	return b.Bytes()
}

// Word is what a list says of a node.
type Word int

// What a list may say.
const (
	Up Word = iota
	Draining
	Gone // it does not stand there
)

// List is the text of a service's list.
func (s *Site) List(p *Places, service int, of func(node int) Word) []byte {
	var b bytes.Buffer
	x, some := s.Services[service], false
	fmt.Fprint(&b, "nodes:")
	for node := x.First; node < x.First+x.Nodes; node++ {
		phase := ""
		switch of(node) {
		case Draining:
			phase = ", phase: draining"
		case Gone:
			continue
		}
		fmt.Fprintf(&b, "\n  - {id: n-%05d, address: '%s', zone: %s, cell: %d%s}", node, p.Node(node), Zone(node), node%4, phase)
		some = true
	}
	if !some {
		fmt.Fprint(&b, " []")
	}
	fmt.Fprintln(&b)
	return b.Bytes()
}

// WriteList replaces a service's list.
func (s *Site) WriteList(p *Places, service int, of func(node int) Word) error {
	return Replace(p.list(service), s.List(p, service, of))
}

// WriteLists writes all lists and makes their folders.
func (s *Site) WriteLists(p *Places, of func(node int) Word) error {
	for i := range s.Services {
		if err := os.MkdirAll(filepath.Dir(p.list(i)), 0o755); err != nil {
			return err
		}
		if err := s.WriteList(p, i, of); err != nil {
			return err
		}
	}
	return nil
}

// Replace replaces a file by a rename, as a writer does whose readers must not see it torn.
func Replace(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

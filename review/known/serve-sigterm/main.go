//go:build review

// Command serve-sigterm: SIGTERM to olivearch serve cuts an answer that keeps within the limits of its route.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"olivearch/review/stand"
)

const (
	term     = time.Second // after the start of the download
	fileSize = 8 << 20     // bytes
	fileRate = 1 << 20     // bytes a second that the server sends
)

const services = `listeners:
  - {address: %s, connections: 400}
limits: {memory: 192MiB, descriptors: 1024, node_connections: 32}
classes:
  page: {repeat: safe, aim: 500ms, deadline: 2s}
pools:
  web:
    nodes: {static: [{address: '%s'}]}
    connections: 200
    queue: 100
routes:
  - {name: files, path: {prefix: /files}, class: page, pool: web, answer: {idle: 10s}}
`

func main() { stand.Main(run) }

func run(w *stand.World) (int, error) {
	server, err := startServer(w.Record)
	if err != nil {
		return 0, err
	}
	listen := stand.FreeAddress()
	path := filepath.Join(w.Folder, "services.yaml")
	if err := os.WriteFile(path, fmt.Appendf(nil, services, listen, server), 0o600); err != nil {
		return 0, err
	}
	balancer, err := w.Start("serve", "exec bin/olivearch serve --config "+path)
	if err != nil {
		return 0, err
	}
	if err := stand.AwaitHealthy(listen, 10*time.Second); err != nil {
		return 0, fmt.Errorf("%w: %s", err, w.Log("serve"))
	}

	if w.Trouble {
		time.AfterFunc(term, func() { w.Signal(balancer, syscall.SIGTERM) })
	}
	cut := download(w.Record, listen)
	if !w.Trouble {
		w.Signal(balancer, syscall.SIGTERM)
	}
	<-balancer.Ended()
	if errors.Is(cut, errCouldNot) {
		return 0, cut
	}
	if cut != nil {
		w.Say("BROKEN: the balancer ended after SIGTERM, and the client has %v", cut)
		return stand.RuleBroken, nil
	}
	w.Say("held: the client has all %d bytes", fileSize)
	return stand.RuleHeld, nil
}

// errCouldNot is wrapped by errors that say nothing of the rule.
var errCouldNot = errors.New("could not run")

// download fetches the file. The error says how it was cut.
func download(record *stand.Record, listen string) error {
	response, err := http.Get("http://" + listen + "/files/map")
	if err != nil {
		return fmt.Errorf("%w: %w", errCouldNot, err)
	}
	defer response.Body.Close()
	began := time.Now()
	record.Line("download: status %d, Content-Length %d", response.StatusCode, response.ContentLength)
	if response.StatusCode != http.StatusOK || response.ContentLength != fileSize {
		return fmt.Errorf("%w: status %d", errCouldNot, response.StatusCode)
	}
	got, err := io.ReadAll(response.Body)
	took := time.Since(began).Round(10 * time.Millisecond)
	record.Line("download: %d of %d bytes after %v, err %v", len(got), fileSize, took, err)
	if err != nil || !bytes.Equal(got, file()) {
		return fmt.Errorf("%d of %d bytes after %v (%w)", len(got), fileSize, took, err)
	}
	return nil
}

func file() []byte { return bytes.Repeat([]byte("0123456789abcdef"), fileSize/16) }

// startServer starts a server that sends the file at a steady rate.
func startServer(record *stand.Record) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	content := file()
	go http.Serve(listener, http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		record.Line("server: %s %s began to run", r.Method, r.URL.Path)
		out.Header().Set("Content-Length", fmt.Sprint(len(content)))
		const pieces = 20 // a second
		for rest := content; len(rest) > 0; time.Sleep(time.Second / pieces) {
			n := min(fileRate/pieces, len(rest))
			if _, err := out.Write(rest[:n]); err != nil {
				record.Line("server: %d bytes left to send: %v", len(rest), err)
				return
			}
			http.NewResponseController(out).Flush()
			rest = rest[n:]
		}
		record.Line("server: all bytes written")
	}))
	return listener.Addr().String(), nil
}

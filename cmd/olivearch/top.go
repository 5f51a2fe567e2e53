package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"olivearch/internal/live"
)

const (
	// clearScreen moves a terminal's cursor to the upper left and erases what follows it.
	clearScreen = "\x1b[H\x1b[J"

	liveViewTimeout     = 5 * time.Second
	maxErrorAnswerBytes = 256 // shown of an error response
)

// top shows the live view once, or repeatedly until it is interrupted.
func top(args []string, out io.Writer) error {
	var address string
	var interval time.Duration
	var once bool
	var part live.Part
	const usage = "[--admin ADDRESS] [--every TIME] [--pool NAME]... [--nodes WHICH] [--once]"
	flagSet, err := parseFlags("top", usage, args, func(f *flag.FlagSet) {
		f.Func("pool", "show only the pool `NAME`; may be repeated; left out: all pools", func(name string) error {
			part.Pools = append(part.Pools, name)
			return nil
		})
		f.StringVar(&part.Nodes, "nodes", live.AllNodes, "`WHICH` nodes to show: all, used or none")
		f.StringVar(&address, "admin", "127.0.0.1:8081", "`ADDRESS` of the admin listener of the running olivearch")
		f.DurationVar(&interval, "every", time.Second, "`TIME` between two updates")
		f.BoolVar(&once, "once", false, "print one table and end")
	})
	if err != nil {
		return err
	}
	if flagSet.NArg() > 0 || interval <= 0 {
		return fmt.Errorf("%w: top takes flags only, and a time over 0", errUsage)
	}
	client := &http.Client{Timeout: liveViewTimeout}
	for {
		view, err := fetchLiveView(client, address, part)
		if err != nil {
			return err
		}
		if !once {
			fmt.Fprint(out, clearScreen)
		}
		uptime := time.Duration(view.UptimeMS) * time.Millisecond
		fmt.Fprintf(out, "olivearch %s, up %s, %d reloads\n", view.Version, uptime, view.Reloads)
		if err := view.Write(out); err != nil || once {
			return err
		}
		time.Sleep(interval)
	}
}

// fetchLiveView gets a part of the live view from the admin listener at an address.
func fetchLiveView(client *http.Client, address string, part live.Part) (live.View, error) {
	var view live.View
	resp, err := client.Get("http://" + address + "/v1/live?" + part.Query())
	if err != nil {
		return view, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorAnswerBytes))
		return view, fmt.Errorf("the admin listener at %s answers %s: %s", address, resp.Status, bytes.TrimSpace(reason))
	}
	return view, json.NewDecoder(resp.Body).Decode(&view)
}

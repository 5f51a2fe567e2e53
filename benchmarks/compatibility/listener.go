package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
)

const (
	// socketTable lists the system's IPv4 TCP sockets; proc(5) has its form.
	socketTable = "/proc/net/tcp"
	// listenState is TCP_LISTEN in the table.
	listenState = "0A"
	// Columns of the table.
	localAddressColumn, stateColumn, inodeColumn = 1, 3, 9
)

// errListenerChanged is returned if another socket listens than before.
var errListenerChanged = errors.New("the new process listens on another socket than the old one did")

// listenerInodes returns the inodes of the sockets that listen at an address's port. Two processes that share one
// socket make one inode; two sockets beside each other (SO_REUSEPORT) make two.
func listenerInodes(address string) ([]string, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("reading an address: %w", err)
	}
	table, err := os.ReadFile(socketTable)
	if err != nil {
		return nil, fmt.Errorf("listing sockets: %w", err)
	}
	return findListeners(string(table), parsed.Port()), nil
}

// findListeners finds the inodes of a port's listening sockets in the text of the table.
func findListeners(table string, port uint16) []string {
	suffix := fmt.Sprintf(":%04X", port)
	var inodes []string
	for line := range strings.Lines(table) {
		columns := strings.Fields(line)
		if len(columns) > inodeColumn && columns[stateColumn] == listenState &&
			strings.HasSuffix(columns[localAddressColumn], suffix) {
			inodes = append(inodes, columns[inodeColumn])
		}
	}
	return inodes
}

// compareListeners is an error unless one and the same socket listens before and after a hot restart.
func compareListeners(before, after []string) error {
	if len(before) != 1 || !slices.Equal(before, after) {
		return fmt.Errorf("%w: inodes %v, then %v", errListenerChanged, before, after)
	}
	return nil
}

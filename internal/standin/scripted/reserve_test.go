package scripted

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
)

// TestReservedAddressIsGivenToNobodyElse guards against a test whose program can't listen at its address, because the
// system has given the port to another socket meanwhile.
func TestReservedAddressIsGivenToNobodyElse(t *testing.T) {
	address := FreeAddress(t)
	if err := bindWithoutSharing(address); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("another socket: got %v, want %v", err, syscall.EADDRINUSE)
	}
	if connection, err := net.Dial("tcp", address); err == nil {
		connection.Close()
		t.Error("somebody listens at the address")
	}
	for range 2 { // a program, and the one that is started after it
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatalf("the program: %v", err)
		}
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatalf("the program's client: %v", err)
		}
		connection.Close()
		listener.Close()
	}
}

// bindWithoutSharing listens at an address on a socket that shares it with no other, and closes it.
func bindWithoutSharing(address string) error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	return listener.Close()
}

package server

import (
	"hash/fnv"
	"os"

	"golang.org/x/sys/unix"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

func (i *identity) encode() []byte {
	var w protomsg.Writer
	w.Uint(1, formFormat)
	w.String(2, i.Name)
	w.Uint(3, i.ID)
	w.Uint(4, i.Cluster)
	return w.Bytes()
}

func (i *identity) decode(b []byte) error {
	return protomsg.Each(b, func(f protomsg.Field) error {
		switch f.Number {
		case 2:
			return f.Text(&i.Name, state.MaxName)
		case 3:
			i.ID = f.Uint
		case 4:
			i.Cluster = f.Uint
		}
		return nil
	})
}

func flock(f *os.File) error { return unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) }

// fnv64 is FNV-1a, the checksum of bbolt's head pages.
func fnv64(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

package server

import (
	"math/rand/v2"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// folderFormat is the version of the folder's storage format.
const folderFormat = 1

// identity is the member that a folder belongs to. It is generated when an empty folder is opened, so a server that
// lost its disk returns as a different member.
type identity struct {
	Name    string
	ID      uint64
	Cluster uint64 // 0: the folder belongs to no cluster yet
}

func (i *identity) encode() []byte {
	var w protomsg.Writer
	w.Uint(1, folderFormat)
	w.String(2, i.Name)
	w.Uint(3, i.ID)
	w.Uint(4, i.Cluster)
	return w.Bytes()
}

func (i *identity) decode(b []byte) error {
	return protomsg.EachField(b, func(f protomsg.Field) error {
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

// generateMemberID returns a random member id. It is never 0, nor one of the two highest numbers, which the Raft
// library reserves for its storage threads (raft.LocalAppendThread, raft.LocalApplyThread).
func generateMemberID() uint64 { return rand.Uint64()>>2 + 1 }

// generateClusterID returns a random cluster id other than 0.
func generateClusterID() uint64 { return rand.Uint64()>>1 + 1 }

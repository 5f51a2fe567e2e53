package server

import (
	"math/rand/v2"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// folderFormat is the version of the storage format.
const folderFormat = 1

// identity identifies the member that a folder belongs to. It is generated when an empty folder is opened: a server
// whose disk was lost comes back as another member.
type identity struct {
	Name    string
	ID      uint64
	Cluster uint64 // 0: it belongs to none yet
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

// generateMemberID returns a new member's id: not 0, and none of the two highest numbers, by which the Raft library
// means its threads for storage (raft.LocalAppendThread, raft.LocalApplyThread).
func generateMemberID() uint64 { return rand.Uint64()>>2 + 1 }

// generateClusterID returns a new cluster's id, which is not 0.
func generateClusterID() uint64 { return rand.Uint64()>>1 + 1 }

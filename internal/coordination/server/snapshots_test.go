package server

import "testing"

func TestSnapshotDue(t *testing.T) {
	cases := []struct {
		name     string
		schedule snapshotSchedule
		applied  uint64
		want     bool
	}{
		{"nothing new applied", snapshotSchedule{lastIndex: 7, bytesSince: snapshotIntervalBytes}, 7, false},
		{"too few entries", snapshotSchedule{lastIndex: 7}, 7 + snapshotIntervalEntries - 1, false},
		{"enough entries", snapshotSchedule{lastIndex: 7}, 7 + snapshotIntervalEntries, true},
		{"few large entries", snapshotSchedule{lastIndex: 7, bytesSince: snapshotIntervalBytes}, 8, true},
		{"one is being written", snapshotSchedule{lastIndex: 7, writing: true}, 7 + snapshotIntervalEntries, false},
	}
	for _, c := range cases {
		if got := c.schedule.due(c.applied); got != c.want {
			t.Errorf("%s: due(%d) returned %v", c.name, c.applied, got)
		}
	}
}

func TestSnapshotKeepsEntriesForMembersThatLag(t *testing.T) {
	cases := []struct{ index, want uint64 }{
		{1, 1},
		{retainedEntries, 1},
		{retainedEntries + 1, 1},
		{retainedEntries + 100, 100},
	}
	for _, c := range cases {
		schedule := snapshotSchedule{bytesSince: 9}
		if got := schedule.begin(c.index); got != c.want {
			t.Errorf("begin(%d) keeps from %d, want %d", c.index, got, c.want)
		}
		if want := (snapshotSchedule{lastIndex: c.index, writing: true}); schedule != want {
			t.Errorf("after begin(%d): %+v", c.index, schedule)
		}
		schedule.written()
		if schedule.due(c.index) || schedule.writing {
			t.Errorf("after written at %d: %+v", c.index, schedule)
		}
	}
}

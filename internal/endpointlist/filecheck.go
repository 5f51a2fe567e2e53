package endpointlist

import (
	"hash/maphash"
	"time"

	"olivearch/internal/strictyaml"
)

// fileCheck is one check of a list's file. It runs on a goroutine of its own, as a file system may block it.
type fileCheck struct {
	path   string
	before FileState
	reread bool // read the file also if its stamp is the same
	// settled is that a change was seen some time ago. Else one that is found now may be in progress, and is left to a
	// later check.
	settled bool

	// The results.
	unsettled    bool // there is a change that may be in progress
	startedAt    time.Time
	stamp        stamp
	linked       bool // the path is a symbolic link
	hash         uint64
	stampChanged bool
	wasRead      bool
	parsed       bool // the text differs from the one before, and was parsed
	list         List
	err          error // of the file, or of its text if that was parsed
}

// checkResult is a check that has ended.
type checkResult struct {
	*Subscription
	fileCheck
}

// run checks the file. While it parses it occupies one of the slots.
func (c *fileCheck) run(stat statFunc, parseSlots chan struct{}) {
	c.startedAt = time.Now()
	c.stamp, c.linked, c.err = stat(c.path)
	if c.err != nil {
		return
	}
	c.stampChanged = c.stamp != c.before.stamp
	if !c.stampChanged && !c.reread {
		return
	}
	if c.stampChanged && !c.settled {
		c.unsettled = true
		return
	}
	text, err := strictyaml.ReadFile(c.path, maxFileSize)
	if err != nil {
		c.err = err
		return
	}
	c.wasRead = true
	c.hash = maphash.Bytes(hashSeed, text)
	if !c.before.readAt.IsZero() && c.hash == c.before.hash {
		return
	}
	parseSlots <- struct{}{} // most processors are left to requests
	c.parsed = true
	c.list, c.err = Parse(c.path, text)
	<-parseSlots
}

// startCheck starts a check of a list.
func (w *Watcher) startCheck(subscription *Subscription) {
	last := subscription.lastRead
	ambiguous := !subscription.confirmed && !last.readAt.IsZero()
	result := &checkResult{subscription, fileCheck{
		path:    subscription.path,
		before:  last,
		settled: !subscription.changeSeen.IsZero() || !subscription.checked,
		reread:  ambiguous && time.Since(last.readAt) >= last.stamp.ambiguousFor(),
	}}
	subscription.changeSeen = time.Time{}
	subscription.checked = true
	go func() {
		result.run(w.stat, w.parseSlots)
		select {
		case w.checks <- result:
		case <-w.done:
		}
	}()
}

// checkFinished takes the result of a check, and schedules the next.
func (w *Watcher) checkFinished(result *checkResult) {
	subscription := result.Subscription
	if subscription.stopped {
		return
	}
	if result.unsettled {
		w.scheduleSettledCheck(subscription)
		return
	}
	subscription.recordReading(&result.fileCheck)
	subscription.notifyOf(&result.fileCheck)
	w.scheduleNextCheck(subscription)
}

// recordReading records the state of the file.
func (s *Subscription) recordReading(check *fileCheck) {
	s.lastRead.linked = check.linked
	switch {
	case check.wasRead:
		s.confirmed = !check.stampChanged && check.reread
		if check.stampChanged {
			s.lastRead.readAt = check.startedAt
		}
		s.lastRead.stamp = check.stamp
		s.lastRead.hash = check.hash
	case check.err != nil:
		s.lastRead = FileState{} // so that the next check reads whatever is there
	}
}

// notifyOf notifies the subscriber of what a check has found. An error is notified once, until it is another.
func (s *Subscription) notifyOf(check *fileCheck) {
	switch {
	case check.err != nil:
		s.recordError(check.err)
	case check.parsed:
		failures := s.failures
		s.lastError = ""
		s.failures = 0
		s.notify(Update{List: &check.list, Failed: failures})
	case s.lastError != "":
		s.failures++
	default:
		s.notify(Update{})
	}
}

// recordError counts an error, and notifies of it unless the check before found it too.
func (s *Subscription) recordError(err error) {
	text := err.Error()
	if text != s.lastError {
		s.notify(Update{Err: err, Failed: s.failures})
		s.lastError = text
		s.failures = 0
	}
	s.failures++
}

package endpointlist

import (
	"hash/maphash"
	"time"

	"olivearch/internal/strictyaml"
)

// fileCheck is one check of the file of a list. It runs on its own goroutine, as a slow file system may block it.
type fileCheck struct {
	path     string
	previous FileState // the file when it was last read
	reread   bool      // read the file even if its stamp is unchanged
	// settled means that a changed file may be read: the settle time has passed, or this is the first check.
	// Otherwise a change that this check finds may be incomplete, and a later check reads the file.
	settled bool

	// The results of run.
	unsettled    bool // the file has a change that may be incomplete
	startedAt    time.Time
	stamp        stamp
	linked       bool // the path is a symbolic link
	hash         uint64
	stampChanged bool
	wasRead      bool
	parsed       bool // the text has changed and was parsed
	list         List
	err          error // from access to the file, or from parsing its text
}

// checkResult is a check that has ended, with its subscription.
type checkResult struct {
	*Subscription
	fileCheck
}

// run checks the file. It parses only while it holds one of parseSlots.
func (c *fileCheck) run(stat statFunc, parseSlots chan struct{}) {
	c.startedAt = time.Now()
	c.stamp, c.linked, c.err = stat(c.path)
	if c.err != nil {
		return
	}
	c.stampChanged = c.stamp != c.previous.stamp
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
	if !c.previous.readAt.IsZero() && c.hash == c.previous.hash {
		return
	}
	parseSlots <- struct{}{} // bounds the processors that parsing takes from requests
	c.parsed = true
	c.list, c.err = Parse(c.path, text)
	<-parseSlots
}

// startCheck starts a check of a list on a new goroutine.
func (w *Watcher) startCheck(subscription *Subscription) {
	last := subscription.lastRead
	ambiguous := !subscription.confirmed && !last.readAt.IsZero()
	result := &checkResult{subscription, fileCheck{
		path:     subscription.path,
		previous: last,
		settled:  !subscription.changeSeenAt.IsZero() || !subscription.checked,
		reread:   ambiguous && time.Since(last.readAt) >= last.stamp.ambiguousFor(),
	}}
	subscription.changeSeenAt = time.Time{}
	subscription.checked = true
	go func() {
		result.run(w.stat, w.parseSlots)
		select {
		case w.checks <- result:
		case <-w.done:
		}
	}()
}

// checkFinished records the result of a check, notifies the subscriber and schedules the next check.
func (w *Watcher) checkFinished(result *checkResult) {
	subscription := result.Subscription
	if subscription.stopped {
		return
	}
	if result.unsettled {
		w.scheduleSettledCheck(subscription)
		return
	}
	subscription.recordState(&result.fileCheck)
	subscription.notifyResult(&result.fileCheck)
	w.scheduleNextCheck(subscription)
}

// recordState records the state of the file that a check found.
func (s *Subscription) recordState(check *fileCheck) {
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
		s.lastRead = FileState{} // so that the next check reads the file in any case
	}
}

// notifyResult notifies the subscriber of the result of a check. It skips an error that equals the last one.
func (s *Subscription) notifyResult(check *fileCheck) {
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

// recordError counts an error, and notifies the subscriber unless the last check found the same error.
func (s *Subscription) recordError(err error) {
	text := err.Error()
	if text != s.lastError {
		s.notify(Update{Err: err, Failed: s.failures})
		s.lastError = text
		s.failures = 0
	}
	s.failures++
}

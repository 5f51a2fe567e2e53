package endpointlist

import (
	"container/heap"
	"math"
	"time"
)

const (
	// settleTime is how long after a change a file is read: a writer that does not replace it at once writes in pieces,
	// and each piece is a change. While changes never pause it is read after maxSettleTime.
	settleTime    = 20 * time.Millisecond
	maxSettleTime = 200 * time.Millisecond
	// wakeupSlot is the raster of periodic checks: one wake-up serves all that fall into a slot.
	wakeupSlot = 250 * time.Millisecond
	// goldenRatio spreads the offsets of periodic checks evenly, however many lists there are.
	goldenRatio = 0.6180339887
)

// checkOffset returns the offset of the periodic checks of the list with a number, from 0 to the interval.
func checkOffset(number int, interval time.Duration) time.Duration {
	_, fraction := math.Modf(float64(number) * goldenRatio)
	return time.Duration(fraction * float64(interval)).Truncate(wakeupSlot)
}

// folderChanged schedules checks after a change in a folder: of the lists in the file of that name, if there are any.
// Else, of those that are symbolic links, missing or invalid, as these depend on other names. No name: of all.
func (w *Watcher) folderChanged(folder *followedFolder, fileName string) {
	now := time.Now()
	ofFile := folder.subscriptions[fileName]
	if ofFile != nil {
		for _, subscription := range ofFile {
			w.fileChanged(subscription, now)
		}
		return
	}
	for _, ofFile := range folder.subscriptions {
		for _, subscription := range ofFile {
			last := subscription.lastRead
			dependsOnOthers := last.linked || last.readAt.IsZero()
			if fileName == "" || dependsOnOthers {
				w.fileChanged(subscription, now)
			}
		}
	}
}

// fileChanged schedules a check for when the file has settled, or after the check that is running.
func (w *Watcher) fileChanged(subscription *Subscription, now time.Time) {
	if subscription.queueIndex == checkRunning {
		subscription.recheck = true
		return
	}
	if subscription.changeSeen.IsZero() {
		subscription.changeSeen = now
	}
	due := now.Add(settleTime)
	latest := subscription.changeSeen.Add(maxSettleTime)
	if due.After(latest) {
		due = latest
	}
	subscription.due = due
	heap.Fix(&w.queue, subscription.queueIndex)
}

// scheduleSettledCheck schedules a check after one that found a change which may be in progress.
func (w *Watcher) scheduleSettledCheck(subscription *Subscription) {
	subscription.changeSeen = time.Now()
	subscription.due = subscription.changeSeen.Add(settleTime)
	heap.Push(&w.queue, subscription)
}

// scheduleNextCheck schedules the check after one that has ended: the next periodic one, or earlier if the stamp that
// was found is ambiguous or there was a change meanwhile.
func (w *Watcher) scheduleNextCheck(subscription *Subscription) {
	now := time.Now()
	interval := w.checkInterval
	if subscription.lastError != "" || subscription.folder.watched == (fileID{}) {
		interval = w.pollInterval
	}
	offset := subscription.checkOffset % interval
	subscription.due = w.startedAt.Add(offset + (now.Sub(w.startedAt) - offset + interval).Truncate(interval))
	last := subscription.lastRead
	if !subscription.confirmed && !last.readAt.IsZero() {
		unambiguousAt := last.readAt.Add(last.stamp.ambiguousFor())
		if unambiguousAt.Before(subscription.due) {
			subscription.due = unambiguousAt
		}
	}
	heap.Push(&w.queue, subscription)
	if subscription.recheck {
		subscription.recheck = false
		w.fileChanged(subscription, now)
	}
}

// checkRunning is the queue index of a subscription that is not in the queue, as its check is running.
const checkRunning = -1

// checkQueue is a heap of lists by the time of their next check. It implements heap.Interface.
type checkQueue []*Subscription

func (q checkQueue) Len() int           { return len(q) }
func (q checkQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }

func (q checkQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex = i
	q[j].queueIndex = j
}

// Push appends a subscription.
func (q *checkQueue) Push(element any) {
	subscription := element.(*Subscription)
	subscription.queueIndex = len(*q)
	*q = append(*q, subscription)
}

// Pop removes the last subscription.
func (q *checkQueue) Pop() any {
	last := len(*q) - 1
	subscription := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	subscription.queueIndex = checkRunning
	return subscription
}

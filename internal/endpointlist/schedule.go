package endpointlist

import (
	"container/heap"
	"math"
	"time"
)

const (
	// settleTime is how long a file must be unchanged before it is read, as a writer that does not replace the file
	// atomically writes it in several parts. If changes never pause, the file is read after maxSettleTime.
	settleTime    = 20 * time.Millisecond
	maxSettleTime = 200 * time.Millisecond
	// wakeupInterval divides the offsets of all periodic checks, so that one wake-up serves several lists.
	wakeupInterval = 250 * time.Millisecond
	// goldenRatio is the fractional part of the golden ratio. Its multiples spread the offsets of periodic checks
	// evenly for any number of lists.
	goldenRatio = 0.6180339887
)

// checkOffset returns the offset of the periodic checks of a list, from 0 to the interval. Lists are numbered from 1.
func checkOffset(number int, interval time.Duration) time.Duration {
	_, fraction := math.Modf(float64(number) * goldenRatio)
	return time.Duration(fraction * float64(interval)).Truncate(wakeupInterval)
}

// folderChanged schedules checks after a change of a file in a folder. If lists are followed in that file, it checks
// these. Otherwise it checks the lists of the folder that are symbolic links or could not be read, such as missing
// files, as they may depend on the file. An empty fileName stands for any file, so all lists of the folder are checked.
func (w *Watcher) folderChanged(folder *followedFolder, fileName string) {
	now := time.Now()
	sameFile := folder.subscriptions[fileName]
	if sameFile != nil {
		for _, subscription := range sameFile {
			w.fileChanged(subscription, now)
		}
		return
	}
	for _, sameFile := range folder.subscriptions {
		for _, subscription := range sameFile {
			last := subscription.lastRead
			dependsOnOthers := last.linked || last.readAt.IsZero()
			if fileName == "" || dependsOnOthers {
				w.fileChanged(subscription, now)
			}
		}
	}
}

// fileChanged schedules a check after the settle time. If a check is running, it schedules the next one after that.
func (w *Watcher) fileChanged(subscription *Subscription, now time.Time) {
	if subscription.queueIndex == checkRunning {
		subscription.recheck = true
		return
	}
	if subscription.changeSeenAt.IsZero() {
		subscription.changeSeenAt = now
	}
	due := now.Add(settleTime)
	latest := subscription.changeSeenAt.Add(maxSettleTime)
	if due.After(latest) {
		due = latest
	}
	subscription.due = due
	heap.Fix(&w.queue, subscription.queueIndex)
}

// scheduleSettledCheck schedules a check after the settle time. The last check found a change that may be incomplete.
func (w *Watcher) scheduleSettledCheck(subscription *Subscription) {
	subscription.changeSeenAt = time.Now()
	subscription.due = subscription.changeSeenAt.Add(settleTime)
	heap.Push(&w.queue, subscription)
}

// scheduleNextCheck schedules the next periodic check of a list whose check has ended. It schedules an earlier one if
// the stamp of the file is ambiguous, or if the file changed during the check.
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

// checkRunning is the queue index of a subscription whose check is running. The subscription is not in the queue then.
const checkRunning = -1

// checkQueue is a heap of subscriptions, ordered by the time of their next check. It implements heap.Interface.
type checkQueue []*Subscription

func (q checkQueue) Len() int           { return len(q) }
func (q checkQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }

func (q checkQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex = i
	q[j].queueIndex = j
}

// Push appends a subscription. Part of heap.Interface.
func (q *checkQueue) Push(element any) {
	subscription := element.(*Subscription)
	subscription.queueIndex = len(*q)
	*q = append(*q, subscription)
}

// Pop removes and returns the last subscription. Part of heap.Interface.
func (q *checkQueue) Pop() any {
	last := len(*q) - 1
	subscription := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	subscription.queueIndex = checkRunning
	return subscription
}

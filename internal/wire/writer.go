package wire

import (
	"encoding/binary"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"time"

	"olivearch/balancer"
)

// Writer collects the actions of one reply. It and its InstanceWriters must be used by one goroutine only.
type Writer struct {
	out   io.Writer
	reply []byte
}

// NewWriter returns a Writer that writes replies to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// EndReply ends the reply to the batch with this serial number and writes it out.
func (w *Writer) EndReply(serial uint64) error {
	w.reply = append(w.reply, "ok serial="...)
	w.reply = strconv.AppendUint(w.reply, serial, 10)
	w.reply = append(w.reply, '\n')
	_, err := w.out.Write(w.reply)
	w.reply = w.reply[:0]
	return err
}

// InstanceWriter is the balancer.Host of one instance: it writes the instance's actions as messages.
type InstanceWriter struct {
	writer        *Writer
	instanceField string
}

// NewInstanceWriter returns an InstanceWriter for the instance of this number.
func NewInstanceWriter(writer *Writer, instance int) *InstanceWriter {
	return &InstanceWriter{writer: writer, instanceField: " balancer_id=" + strconv.Itoa(instance)}
}

var _ balancer.Host = (*InstanceWriter)(nil)

// begin writes a message's name and the number of the instance.
func (w *InstanceWriter) begin(message string) {
	w.append(message)
	w.append(w.instanceField)
}

func (w *InstanceWriter) end() { w.append("\n") }

func (w *InstanceWriter) append(text string) {
	w.writer.reply = append(w.writer.reply, text...)
}

// The methods below add a field. Their parameter named field has the form " name=".

func (w *InstanceWriter) number(field string, value uint64) {
	w.append(field)
	w.writer.reply = strconv.AppendUint(w.writer.reply, value, 10)
}

// duration adds a duration in microseconds, or nothing if it is 0.
func (w *InstanceWriter) duration(field string, value time.Duration) {
	if value == 0 {
		return
	}
	w.append(field)
	w.writer.reply = strconv.AppendInt(w.writer.reply, value.Microseconds(), 10)
}

func (w *InstanceWriter) requestID(id balancer.RequestID) {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(id))
	w.append(" id=")
	w.writer.reply = hex.AppendEncode(w.writer.reply, raw[:])
}

func (w *InstanceWriter) upstream(id balancer.UpstreamID) { w.number(" upstream=", uint64(id)) }

// text adds a text with each run of white space, including line breaks, replaced by one space.
func (w *InstanceWriter) text(field, value string) {
	w.append(field)
	w.append(strings.Join(strings.Fields(value), " "))
}

// Send writes that an attempt is sent; a timeout of 0 is left out.
func (w *InstanceWriter) Send(id balancer.RequestID, upstream balancer.UpstreamID, timeout time.Duration) {
	w.begin("submit_to")
	w.requestID(id)
	w.upstream(upstream)
	w.duration(" patience_us=", timeout)
	w.end()
}

// Reject writes that a request is rejected.
func (w *InstanceWriter) Reject(id balancer.RequestID, retryAfter time.Duration) {
	w.begin("bounce")
	w.requestID(id)
	w.duration(" hold_off_us=", retryAfter)
	w.end()
}

// Fail writes that a request has failed.
func (w *InstanceWriter) Fail(id balancer.RequestID) {
	w.begin("report_failure")
	w.requestID(id)
	w.end()
}

// Cancel writes that an attempt is cancelled.
func (w *InstanceWriter) Cancel(id balancer.RequestID, attempt int) {
	w.begin("withdraw")
	w.requestID(id)
	w.number(" go=", uint64(attempt))
	w.end()
}

// HealthCheck writes that a health check is sent to an upstream.
func (w *InstanceWriter) HealthCheck(upstream balancer.UpstreamID) {
	w.begin("ping")
	w.upstream(upstream)
	w.end()
}

// CloseIdle writes that idle connections to an upstream are closed.
func (w *InstanceWriter) CloseIdle(upstream balancer.UpstreamID) {
	w.begin("disconnect")
	w.upstream(upstream)
	w.end()
}

// WatchEndpoints writes that watching the endpoint list begins or ends.
func (w *InstanceWriter) WatchEndpoints(on bool) {
	w.begin("keep_informed")
	if on {
		w.append(" active=1")
	} else {
		w.append(" active=0")
	}
	w.end()
}

// FetchEndpoints writes that the endpoint list is fetched.
func (w *InstanceWriter) FetchEndpoints() {
	w.begin("query_all")
	w.end()
}

// SetTimer writes that a timer is set. A negative time counts as 0.
func (w *InstanceWriter) SetTimer(after time.Duration, token uint64) {
	w.begin("timer")
	w.number(" from_now_us=", uint64(max(after, 0).Microseconds()))
	w.number(" ctx=", token)
	w.end()
}

// Log writes a line of the instance's log.
func (w *InstanceWriter) Log(text string) {
	w.begin("write_log")
	w.text(" note_text=", text)
	w.end()
}

// Crash writes that the instance has failed.
func (w *InstanceWriter) Crash(text string) {
	w.begin("crash")
	w.text(" note_text=", text)
	w.end()
}

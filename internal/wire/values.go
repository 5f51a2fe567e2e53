package wire

import (
	"bytes"
	"fmt"

	"olivearch/balancer"
)

// listMode reads how an endpoint list relates to the previous one.
func (f *fields) listMode(name string) balancer.ListMode {
	switch string(f.text(name, required)) {
	case "D":
		return balancer.ListDelta
	case "F":
		return balancer.ListFull
	case "C":
		return balancer.ListCached
	case "X":
		return balancer.ListFailed
	}
	f.fail(name, "unknown list mode")
	return 0
}

// state reads the state of an upstream.
func (f *fields) state(name string) balancer.State {
	switch string(f.text(name, required)) {
	case "active":
		return balancer.Active
	case "leaving":
		return balancer.Draining
	case "left":
		return balancer.Removed
	}
	f.fail(name, "unknown state")
	return 0
}

// status reads the result code of an attempt or a health check.
func (f *fields) status(name string) balancer.Status {
	code := f.uint(name, 31, required)
	switch code {
	case 0:
		return balancer.OK
	case 255:
		return balancer.Error
	case 254:
		return balancer.Rejected
	case 253:
		return balancer.Timeout
	case 252:
		return balancer.ConnectFailed
	case 251:
		return balancer.Reset
	case 250:
		return balancer.Cancelled
	case 249:
		return balancer.NotSent
	}
	f.fail(name, fmt.Sprintf("unknown status %d", code))
	return 0
}

// load reads a load report: name:value pairs, separated by commas. Unknown names are ignored.
func (f *fields) load(name string) balancer.Load {
	var report balancer.Load
	rest := f.text(name, optional)
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte{','})
		key, value, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			f.fail(name, fmt.Sprintf("%q is not name:value", pair))
			return report
		}
		SetLoadValue(&report, string(key), f.parseFloat(name, value))
	}
	return report
}

// SetLoadValue sets one value of a load report, by its name on the simulator's wire or by the short name that upstreams
// send. Unknown names are ignored.
func SetLoadValue(report *balancer.Load, name string, value float64) {
	switch name {
	case "load_share", "util":
		report.Utilisation = value
		report.Fields |= balancer.HasUtilisation
	case "concurrent", "inflight":
		report.InFlight = value
		report.Fields |= balancer.HasInFlight
	case "depth", "queue":
		report.Queue = value
		report.Fields |= balancer.HasQueue
	case "mean_ms", "latency_ms":
		report.Service = value
		report.Fields |= balancer.HasService
	case "tps", "qps":
		report.Rate = value
		report.Fields |= balancer.HasRate
	case "err_ps", "eps":
		report.Errors = value
		report.Fields |= balancer.HasErrors
	}
}

package upstream

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"olivearch/balancer"
	"olivearch/internal/wire"
)

// maxUtilisation is the largest utilisation in a load report. 1 means that all cores are busy; readings may exceed it,
// since they are noisy.
const maxUtilisation = 2

// errRepeatedReport is the error of a response with more than one load report.
var errRepeatedReport = errors.New("X-Load stands there more than once")

// parseLoadReport parses the load report of a response, comma-separated pairs NAME=NUMBER. A response without a report
// is not an error. A malformed or repeated report yields no load, so that shares do not change because of a partial
// report.
func parseLoadReport(reports []string) (balancer.Load, error) {
	switch len(reports) {
	case 0:
		return balancer.Load{}, nil
	case 1:
		return parseLoadFields(reports[0])
	default:
		return balancer.Load{}, errRepeatedReport
	}
}

func parseLoadFields(report string) (balancer.Load, error) {
	load := balancer.Load{}
	seen := map[string]bool{}
	for field := range strings.SplitSeq(report, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(field), "=")
		value, err := strconv.ParseFloat(number, 64)
		inRange := value >= 0 && value <= math.MaxInt32 // false for NaN
		switch {
		case err != nil || name == "":
			return balancer.Load{}, fmt.Errorf("%.40q is not NAME=NUMBER", field)
		case seen[name]:
			return balancer.Load{}, fmt.Errorf("%.40q stands there more than once", name)
		case !inRange:
			return balancer.Load{}, fmt.Errorf("%.40q is out of range", field)
		}
		seen[name] = true
		wire.SetLoadValue(&load, name, value)
	}
	if load.Utilisation > maxUtilisation {
		return balancer.Load{}, fmt.Errorf("a utilisation of %g: 1 is all cores busy", load.Utilisation)
	}
	if load.Fields == 0 {
		return balancer.Load{}, fmt.Errorf("%.40q names no load that is known", report)
	}
	return load, nil
}

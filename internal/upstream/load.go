package upstream

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"olivearch/balancer"
	"olivearch/internal/wire"
)

// maxUtil bounds the use that a load report can mean: all cores busy is 1, give or take its noise.
const maxUtil = 2

// LoadOf reads a load report: name=value pairs. One that can't be read in full, or stands there more than once, tells
// nothing but why: a half of it must not move shares.
func LoadOf(reports []string) (l balancer.Load, why string) {
	if len(reports) == 0 {
		return l, ""
	}
	if len(reports) > 1 {
		return l, "X-Load stands there more than once"
	}
	named := map[string]bool{}
	for part := range strings.SplitSeq(reports[0], ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(v, 64)
		switch {
		case err != nil || name == "":
			return balancer.Load{}, fmt.Sprintf("%.40q is not NAME=NUMBER", part)
		case named[name]:
			return balancer.Load{}, fmt.Sprintf("%.40q stands there more than once", name)
		case !(x >= 0 && x <= math.MaxInt32):
			return balancer.Load{}, fmt.Sprintf("%.40q is out of range", part)
		}
		named[name] = true
		wire.SetLoad(&l, name, x)
	}
	switch {
	case l.Util > maxUtil:
		return balancer.Load{}, fmt.Sprintf("a utilisation of %g: 1 is all cores busy", l.Util)
	case l.Fields == 0:
		return l, fmt.Sprintf("%.40q names no load that is known", reports[0])
	}
	return l, ""
}

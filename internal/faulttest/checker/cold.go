package checker

// coldNode is a node that has just started, and the work that came to it lately.
type coldNode struct {
	since  int64
	lately []work
	sum    int64
	fallen bool // told once
}

type work struct{ at, ns int64 }

// chill adds a request's work to what a cold node was sent within the window, over all balancers, and compares it with what the
// node bears: a multiple of what it could do in that time at its present speed.
func (x *run) chill(r Record) {
	n := x.cold[r.Node]
	if n == nil || r.At < n.since {
		return
	}
	age := r.At - n.since
	if age > int64(x.rules.Ramp) {
		delete(x.cold, r.Node)
		return
	}
	n.lately, n.sum = append(n.lately, work{r.At, r.Work}), n.sum+r.Work
	for len(n.lately) > 0 && n.lately[0].at <= r.At-int64(x.rules.TipAfter) {
		n.sum -= n.lately[0].ns
		n.lately = n.lately[1:]
	}
	speed := x.rules.ColdFrom + (1-x.rules.ColdFrom)*float64(age)/float64(x.rules.Ramp)
	bears := x.rules.TipMultiple * speed * float64(x.rules.Cores) * float64(x.rules.TipAfter)
	if float64(n.sum) > bears && !n.fallen {
		n.fallen = true
		x.breach(NoTipping, r.At, -1, 0, 0, "cold n-%d was sent %.2f core seconds in %v and bears %.2f", r.Node, float64(n.sum)/1e9, x.rules.TipAfter, bears/1e9)
	}
}

package schedule

import (
	"slices"

	"olivearch/internal/faulttest/script"
)

// Shrink looks for a schedule with fewer and shorter faults for which fails still says yes, in so many plays at most. It is a search
// by halves (delta debugging, Zeller and Hildebrandt, 2002): first without parts of the schedule, then with each fault half as long.
// Which faults chance chooses follows their number, so a fault that words choose by part is written out by name first.
func Shrink(f *script.File, most int, fails func(*script.File) bool) (best *script.File, plays int) {
	best = Named(f)
	try := func(faults []script.Fault) bool {
		if plays >= most {
			return false
		}
		plays++
		next := *best
		next.Faults = faults
		if !fails(&next) {
			return false
		}
		best = &next
		return true
	}
	for size := (len(best.Faults) + 1) / 2; size >= 1; {
		shorter := false
		for at := 0; at+size <= len(best.Faults); {
			if try(slices.Delete(slices.Clone(best.Faults), at, at+size)) {
				shorter = true
			} else {
				at += size
			}
		}
		if size == 1 && !shorter {
			break
		}
		size = max(1, size/2)
		if len(best.Faults) <= 1 {
			break
		}
	}
	for i := range best.Faults {
		for best.Faults[i].For > 1 {
			faults := slices.Clone(best.Faults)
			faults[i].For /= 2
			if !try(faults) {
				break
			}
		}
	}
	return best, plays
}

// Named returns a script in which faults name each process that chance had chosen.
func Named(f *script.File) *script.File {
	next := *f
	next.Faults = slices.Clone(f.Faults)
	for i := range next.Faults {
		x := &next.Faults[i]
		for _, words := range []struct {
			of   *[]string
			draw int
		}{{&x.Of, i}, {&x.From, i}, {&x.To, i + 1<<16}} {
			var names []string
			for _, p := range f.Choose(*words.of, words.draw) {
				names = append(names, p.String())
			}
			*words.of = names
		}
	}
	return &next
}

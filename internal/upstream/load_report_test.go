package upstream

import (
	"testing"

	"olivearch/balancer"
)

// A malformed load report yields no load, and an error with the reason.
func TestLoadReports(t *testing.T) {
	complete := balancer.Load{
		Fields:      balancer.HasErrors | balancer.HasUtilisation | balancer.HasService,
		Errors:      0.5,
		Utilisation: 0.61,
		Service:     14.5,
	}
	for _, c := range []struct {
		name    string
		reports []string
		want    balancer.Load
		why     string
	}{
		{"complete", []string{"err_ps=0.5, load_share=0.61,mean_ms=14.5,other=3"}, complete, ""},
		{"none", nil, balancer.Load{}, ""},
		{"empty", []string{""}, balancer.Load{}, `"" is not NAME=NUMBER`},
		{"one malformed value", []string{"load_share=0.61,mean_ms=x"}, balancer.Load{}, `"mean_ms=x" is not NAME=NUMBER`},
		{"truncated", []string{"load_share=0.61,mean"}, balancer.Load{}, `"mean" is not NAME=NUMBER`},
		{"two", []string{"load_share=0.61", "load_share=0.62"}, balancer.Load{}, "X-Load stands there more than once"},
		{
			"a name twice",
			[]string{"load_share=0.61,load_share=0.1"},
			balancer.Load{},
			`"load_share" stands there more than once`,
		},
		{"not finite", []string{"load_share=NaN"}, balancer.Load{}, `"load_share=NaN" is out of range`},
		{"negative", []string{"load_share=-0.5"}, balancer.Load{}, `"load_share=-0.5" is out of range`},
		{"more than all cores", []string{"load_share=61"}, balancer.Load{}, "a utilisation of 61: 1 is all cores busy"},
		{"unknown names", []string{"cpu=0.5"}, balancer.Load{}, `"cpu=0.5" names no load that is known`},
	} {
		got, err := parseLoadReport(c.reports)
		why := ""
		if err != nil {
			why = err.Error()
		}
		want(t, c.name, got, c.want)
		want(t, c.name, why, c.why)
	}
}

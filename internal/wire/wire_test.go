package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"olivearch/balancer"
)

const startText = `{"az":"z1","balancers":2,"granularity_us":5000,"membership_mode":"pushed","weights":"nominal",` +
	`"worth_by":"work","limits":{"max_attempts":3,"cancel":true},"obligations":{"cold_from":0.3,"ramp_time_us":9000000,` +
	`"tip_after_us":1500000,"tip_multiple":3.0},"profiles":[{"name":"c","target_us":250000,"give_up_us":750000,` +
	`"repeat":"non_idempotent","worth":1}],"reporting":{"via":"piggyback"},"unknown_key":{"x":[1,2]}}`

const frame = "frame at_time_us=10 serial=1\n"

// readUntilError reads batches until an error, and returns it with the last batch.
func readUntilError(text string) (Batch, error) {
	reader := NewReader(strings.NewReader(text))
	var batch Batch
	for {
		if err := reader.Next(&batch); err != nil {
			return batch, err
		}
	}
}

func TestMalformedInputNamesLineAndField(t *testing.T) {
	const attachPrefix = "attach balancer_id=1 random_seed=1 params="
	unknownRepeat := strings.Replace(startText, "non_idempotent", "never", 1)
	for _, c := range []struct{ name, text, want string }{
		{"unknown message", frame + "bogus balancer_id=1\neob\n", `line 2: unknown message "bogus"`},
		{"no frame", "eob\n", "line 1"},
		{"frame without serial", "frame at_time_us=10\neob\n", "serial: missing"},
		{"missing id", frame + "lapsed balancer_id=1\neob\n", "line 2: lapsed: field id: missing"},
		{"missing instance", frame + "elapsed ctx=1\neob\n", "field balancer_id: missing"},
		{"bad id", frame + "lapsed balancer_id=1 id=12\neob\n", "field id: \"12\" is not 16 hex digits"},
		{"bad number", frame + "elapsed balancer_id=1 ctx=x\neob\n", "field ctx"},
		{"number out of range", frame + "elapsed balancer_id=1 ctx=9223372036854775808\neob\n", "field ctx"},
		{
			"bad flag",
			frame + "inbound balancer_id=1 id=00000000000000ff budget_us=1 class=c retry=2\neob\n",
			"field retry",
		},
		{
			"bad status",
			frame + "health balancer_id=1 upstream=1 disposition=7 cost_time_us=1\neob\n",
			"unknown status 7",
		},
		{
			"bad report",
			frame + "health balancer_id=1 upstream=1 disposition=0 cost_time_us=1 metrics=load_share\neob\n",
			"field metrics",
		},
		{"bad mode", frame + "endpoints balancer_id=1 mode=Q rev=1 bank=0\neob\n", "field mode"},
		{"no such list", frame + "endpoints balancer_id=1 mode=F rev=1 bank=3\neob\n", "field bank"},
		{
			"bad state",
			frame + "sheet bank=0 items=1\nm upstream=1 availability=up\neob\n",
			"line 3: m: field availability",
		},
		{
			"count too large",
			frame + "sheet bank=0 items=2\nm upstream=1 availability=active\neob\n",
			"items=2, but 1 follow",
		},
		{"bank out of range", frame + "sheet bank=16 items=0\neob\n", "field bank"},
		{"bad settings", frame + "attach balancer_id=1 random_seed=1 params={\neob\n", "field params"},
		{"unknown repeat", frame + attachPrefix + unknownRepeat + "\neob\n", `repeat "never"`},
		{"not a pair", frame + "exit balancer_id\neob\n", "not name=value"},
		{"no end", frame + "exit balancer_id=1\n", "without eob"},
		{"cut line", frame + "exit balan", "line 2: cut short"},
	} {
		if _, err := readUntilError(c.text); err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.want)
		}
	}
}

func TestReadsEvents(t *testing.T) {
	text := "frame at_time_us=8412250 serial=12\n" +
		"sheet bank=0 items=1\n" +
		"m block=2 region_part=z1 upstream=9 machine=k nominal=1.5 came_up_us=61 " +
		"availability=leaving extra=1\n" +
		"attach balancer_id=3 random_seed=5 params=" + startText + "\n" +
		"endpoints balancer_id=3 mode=C rev=41 bank=0\n" +
		"sheet bank=0 items=0\n" +
		"inbound balancer_id=3 id=912855b15d3a91c4 budget_us=240000 key=91f03b7c55d20a64 " +
		"org=t class=c cost_guess_us=12000\n" +
		"verdict balancer_id=3 id=912855b15d3a91c4 upstream=9 go=1 cost_time_us=18500 " +
		"disposition=254 metrics=err_ps:0.5,load_share:0.62,odd:1\n" +
		"eob\n"
	batch, err := readUntilError(text)
	if !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	wantList := "[{ID:9 Zone:z1 Cell:2 Weight:1.5 StartedAt:61µs State:1 WarmUpShare:0 MaxInFlight:0}]"
	if got := fmt.Sprintf("%+v", batch.Events[1].Endpoints); got != wantList {
		t.Errorf("list %s, want %s (the list at the time of the reference)", got, wantList)
	}
	wantRequest := balancer.Request{
		ID:     0x912855b15d3a91c4,
		Budget: 240 * time.Millisecond,
		Class:  "c",
		Tenant: "t",
		Key:    0x91f03b7c55d20a64,
		HasKey: true,
		Cost:   12 * time.Millisecond,
	}
	if got := batch.Events[2].Request; got != wantRequest {
		t.Errorf("request %+v, want %+v", got, wantRequest)
	}
	attempt := batch.Events[3].Attempt
	if attempt.Attempt != 1 || attempt.Status != balancer.Rejected || attempt.Closed {
		t.Errorf("attempt %+v", attempt)
	}
	if attempt.Load.Utilisation != 0.62 || attempt.Load.Fields != balancer.HasUtilisation|balancer.HasErrors {
		t.Errorf("load %+v", attempt.Load)
	}
	settings := batch.Events[0].Settings
	if settings.Zone != "z1" || settings.Rules.OverloadMultiple != 3 {
		t.Errorf("settings %+v", settings)
	}
	if got := settings.Classes[0].Idempotency; got != balancer.NonIdempotent {
		t.Errorf("idempotency %v", got)
	}
}

func TestWritesActions(t *testing.T) {
	var out bytes.Buffer
	writer := NewWriter(&out)
	host := NewInstanceWriter(writer, 3)
	host.Send(0x912855b15d3a91c4, 51530247, 80*time.Millisecond)
	host.Send(1, 2, 0)
	host.Reject(0xff, 250*time.Millisecond)
	host.Fail(0xff)
	host.Cancel(0xff, 2)
	host.HealthCheck(7)
	host.CloseIdle(7)
	host.WatchEndpoints(true)
	host.WatchEndpoints(false)
	host.FetchEndpoints()
	host.SetTimer(500*time.Millisecond, 77)
	host.Log("two\nlines")
	host.Crash("index out of range")
	if err := writer.EndReply(12); err != nil {
		t.Fatal(err)
	}
	want := `submit_to balancer_id=3 id=912855b15d3a91c4 upstream=51530247 patience_us=80000
submit_to balancer_id=3 id=0000000000000001 upstream=2
bounce balancer_id=3 id=00000000000000ff hold_off_us=250000
report_failure balancer_id=3 id=00000000000000ff
withdraw balancer_id=3 id=00000000000000ff go=2
ping balancer_id=3 upstream=7
disconnect balancer_id=3 upstream=7
keep_informed balancer_id=3 active=1
keep_informed balancer_id=3 active=0
query_all balancer_id=3
timer balancer_id=3 from_now_us=500000 ctx=77
write_log balancer_id=3 note_text=two lines
crash balancer_id=3 note_text=index out of range
ok serial=12
`
	if out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
}

// FuzzReader: on any input, Reader returns batches or an error that names a line, and does not panic. Every test run
// tries the inputs below; `go test -fuzz FuzzReader ./internal/wire` generates more.
func FuzzReader(f *testing.F) {
	for _, text := range []string{
		"", "\n", frame, frame + "eob\n", frame + "sheet bank=0 items=99999999\nm upstream=1 availability=active\neob\n",
		frame + "sheet bank=3 items=1\nm block=4 region_part=z upstream=9 nominal=1e308 came_up_us=7 availability=left\n" +
			"endpoints balancer_id=1 mode=D rev=1 bank=3\neob\n",
		frame + "attach balancer_id=1 random_seed=1 params=" + startText + "\neob\n",
		frame + "attach balancer_id=1 random_seed=1 params={\"profiles\":[{}],\"tenants\":null}\neob\n",
		frame + "inbound balancer_id=1 id=00000000000000ff budget_us=-9223372036854775808 class=c cost_guess_us=-1\neob\n",
		frame + "verdict balancer_id=1 id=00000000000000ff upstream=9 go=4294967295 cost_time_us=1 " +
			"disposition=0 metrics=a:,b\neob\n",
		frame + "health balancer_id=1 upstream=9 disposition=0 cost_time_us=1 metrics=load_share:NaN\neob\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := NewReader(bytes.NewReader(text))
		var batch Batch
		for range 100 {
			err := reader.Next(&batch)
			if err == nil {
				continue
			}
			isEnd := err.Error() == io.EOF.Error() // errors.Is accepts a wrapped io.EOF too, which must name a line
			if !isEnd && !strings.HasPrefix(err.Error(), "line ") {
				t.Errorf("error %q names no line", err)
			}
			return
		}
	})
}

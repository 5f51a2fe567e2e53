package discovery

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestAssumedRevisionOfAnotherService guards against a client that asks for changes since a revision which the service
// has not come to.
func TestAssumedRevisionOfAnotherService(t *testing.T) {
	for name, complete := range map[string]bool{"complete list": true, "changes": false} {
		t.Run(name, func(t *testing.T) {
			var asked []string
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked = append(asked, r.URL.Query().Get("since"))
				isComplete := complete || r.URL.Query().Get("since") == ""
				_, _ = fmt.Fprintf(w, `{"revision":7,"complete":%v,"members":[]}`, isComplete)
			}))
			defer service.Close()
			client := New(t.Context(), service.Listener.Addr().String(), func(Event) {})
			defer client.Close()
			client.AssumeRevision(41)
			_, err := client.awaitChange(t.Context(), pushLimits)
			if errors.Is(err, errOtherService) == complete {
				t.Errorf("first answer: %v", err)
			}
			listing, err := client.awaitChange(t.Context(), pushLimits)
			if err != nil || listing.Revision != 7 {
				t.Errorf("second answer: revision %d, %v", listing.Revision, err)
			}
			want := "7"
			if !complete {
				want = "" // the complete list
			}
			if len(asked) != 2 || asked[0] != "41" || asked[1] != want {
				t.Errorf("asked since %q, want 41 and %q", asked, want)
			}
		})
	}
}

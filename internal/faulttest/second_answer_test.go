package faulttest

import (
	"fmt"
	"testing"
	"time"
)

const secondAnswerScript = `
name: second-answer
length: 5s
balancers: {count: 3}
nodes: {count: 6, cores: 1}
load: {rate: 60, work: 15ms, deadline: 600ms}
faults:
  - {at: 200ms, kind: second-answer, share: 0.1, delay: %v, jitter: %v, of: [nodes]}
`

// secondRejectionScript has upstreams without a queue, which reject many requests.
const secondRejectionScript = `
name: second-rejection
length: 5s
balancers: {count: 3}
nodes: {count: 6, cores: 1, queue: 1}
load: {rate: 100, work: 15ms, deadline: 600ms}
faults:
  - {at: 200ms, kind: second-answer, share: 0.2, delay: %v, jitter: %v, of: [nodes]}
`

// secondAnswerDelay is how long after an answer it comes again.
type secondAnswerDelay struct{ delay, jitter time.Duration }

var secondAnswerDelays = []secondAnswerDelay{
	{300 * time.Microsecond, 0},
	{2 * time.Millisecond, 0},
	{7 * time.Millisecond, 0},
	{20 * time.Millisecond, 0},
	{60 * time.Millisecond, 0},
	{150 * time.Millisecond, 0},
	{0, 300 * time.Millisecond},
}

// TestSecondAnswersAreNotTakenForOtherRequests: a response that an upstream sends twice serves no other request.
func TestSecondAnswersAreNotTakenForOtherRequests(t *testing.T) {
	longerThanAnyRest := secondAnswerDelay{700 * time.Millisecond, 0}
	playSecondAnswers(t, secondAnswerScript, append(secondAnswerDelays, longerThanAnyRest))
}

// TestSecondRejectionsDoNotRejectOtherRequests: a rejection that is sent twice says nothing of another request.
func TestSecondRejectionsDoNotRejectOtherRequests(t *testing.T) {
	playSecondAnswers(t, secondRejectionScript, secondAnswerDelays)
}

func playSecondAnswers(t *testing.T, text string, delays []secondAnswerDelay) {
	t.Helper()
	var results []func(*testing.T) *Result
	for _, d := range delays {
		results = append(results, play(t, program, parsed(t, fmt.Sprintf(text, d.delay, d.jitter))))
	}
	for i, d := range delays {
		t.Run(fmt.Sprintf("%v to %v", d.delay, d.delay+d.jitter), func(t *testing.T) {
			r := results[i](t)
			if !r.Holds {
				t.Errorf("%v breaks, such as %v %v", r.Figures["breaches"], r.Breaches, r.Crashes)
			}
			if r.Figures["served"] < 0.5 {
				t.Errorf("too few served to show anything: %v", r.Figures)
			}
		})
	}
}

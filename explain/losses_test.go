package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chutereach/explain"
)

// logOf parses a log given as lines "SECONDS|BOX|MESSAGE|FIELDS", with FIELDS the members of a
// JSON object.
func logOf(t *testing.T, texts ...string) []explain.Line {
	t.Helper()
	var log strings.Builder
	for _, text := range texts {
		parts := strings.SplitN(text, "|", 4)
		var second float64
		if _, err := fmt.Sscan(parts[0], &second); err != nil {
			t.Fatal(err)
		}
		stamp := time.Unix(1000, 0).Add(time.Duration(second * float64(time.Second))).UTC().Format(time.RFC3339Nano)
		fields := parts[3]
		if fields != "" {
			fields += ","
		}
		fmt.Fprintf(&log, "%s {%s\"time\":%q,\"message\":%q}\n", parts[1], fields, stamp, parts[2])
	}
	lines, skipped, err := explain.Read(strings.NewReader(log.String()), "box")
	if err != nil || skipped > 0 {
		t.Fatalf("error %v, %d lines skipped", err, skipped)
	}
	return lines
}

const lateAfterTwo = `"job":"j","queue":"q","state":"completed","late":true,"age":2000`

func TestLosses(t *testing.T) {
	accepted := `1|a|accepted|"job":"j","queue":"q"`
	granted := `1.05|a|granted|"job":"j"`
	cases := []struct {
		name  string
		lines []string
		want  explain.Cause // empty if no loss is expected
	}{
		{"in time", []string{accepted, granted, `3|a|job is final|"job":"j","queue":"q","state":"completed","late":false,"age":2000`}, ""},
		{"cancelled", []string{accepted, `3|a|job is final|"job":"j","queue":"q","state":"cancelled","late":true,"age":2000`}, ""},
		{"slow store", []string{accepted, `2.2|a|slow transaction|"took":1100`, granted, `3|a|job is final|` + lateAfterTwo}, explain.CauseStore},
		{"takeover", []string{accepted, `2.5|b|shard loaded|"took":30`, `2.55|b|granted|"job":"j"`, `3|b|job is final|` + lateAfterTwo}, explain.CauseNoOwner},
		{"failed attempt", []string{accepted, granted, `2|a|attempt over|"job":"j","outcome":"failed"`, `3|a|job is final|` + lateAfterTwo}, explain.CauseAttempts},
		{"preempted task", []string{accepted, granted, `1.5|a|stopping|"job":"j"`, `2|a|attempt over|"job":"j","outcome":"stopped"`, `3|a|job is final|` + lateAfterTwo}, explain.CausePreempted},
		{"no capacity", []string{accepted, `2|a|granted|"job":"j"`, `3|a|job is final|` + lateAfterTwo}, explain.CausePlacement},
		{"account quota", []string{accepted, `1.1|a|waits for its account's quota|"job":"j","account":"x"`, `2|a|its account's quota has room|"job":"j","waited":900`, `2.05|a|granted|"job":"j"`, `3|a|job is final|` + lateAfterTwo}, explain.CauseQuota},
		{"account quota until the end", []string{accepted, granted, `1.1|a|waits for its account's quota|"job":"j","account":"x"`, `3|a|job is final|` + lateAfterTwo}, explain.CauseQuota},
		{"refused for account quota", []string{`1|a|refused|"job":"j","queue":"q","account":"x","error":"not taken: step 0 needs more"`}, explain.CauseQuota},
		{"evacuated data hall", []string{`0.5|a|evacuated data halls|"version":7,"halls":["h"],"before":[]`, `0.6|b|evacuated data halls|"version":7,"halls":["h"],"before":[]`, accepted, `1.9|a|evacuated data halls|"version":9,"halls":[],"before":["h"]`, `2|a|granted|"job":"j"`, `3|a|job is final|` + lateAfterTwo}, explain.CauseEvacuated},
		{"no capacity after an evacuation", []string{`0.5|a|evacuated data halls|"version":7,"halls":["h"],"before":[]`, `0.9|a|evacuated data halls|"version":9,"halls":[],"before":["h"]`, accepted, `2|a|granted|"job":"j"`, `3|a|job is final|` + lateAfterTwo}, explain.CausePlacement},
		{"long run", []string{accepted, granted, `3|a|job is final|` + lateAfterTwo}, explain.CauseLongRun},
		{"refused", []string{`1|a|refused|"job":"j","queue":"q"`}, explain.CauseRefused},
		{"given back", []string{accepted, `2|a|given back|"job":"j","queue":"q"`}, explain.CauseRefused},
		{"given back and submitted again", []string{accepted, `2|a|given back|"job":"j","queue":"q"`, `2.5|a|accepted|"job":"j","queue":"q"`, granted, `3|a|job is final|"job":"j","queue":"q","state":"completed","late":false,"age":500`}, ""},
		{"never final", []string{accepted, granted}, explain.CauseNotWritten},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			losses := explain.Losses(logOf(t, test.lines...), time.Unix(1000, 0), 2*time.Second)
			if test.want == "" {
				if len(losses) != 0 {
					t.Errorf("got %+v, want no losses", losses)
				}
				return
			}
			want := explain.Loss{Queue: "q", Window: 0, Cause: test.want, Jobs: 1}
			if len(losses) != 1 || losses[0] != want {
				t.Errorf("got %+v, want %+v", losses, want)
			}
		})
	}
}

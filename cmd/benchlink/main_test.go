package main

import (
	"bytes"
	"strings"
	"testing"
)

const enlist = `ENLIST 9 {"replicas_of_me": 1, "my_zone": "z", "allowed": {"send_cap": 3}, "tick_us": 1000,
 "classes": [{"name": "plan", "deadline_us": 5000000, "aim_us": 150000, "repeat": "retryable"}]}`

// batch returns the text of a batch with these lines for instance 3.
func batch(lines ...string) string {
	text := "BEGIN_BATCH 5\nSELECT 3\n" + strings.Join(lines, "\n") + "\nCOMMIT\n"
	return strings.ReplaceAll(text, ",\n", ",")
}

var fleet = []string{"LIST 0 1", "WORKER w1 z std 0 ready 1 -", "TARGETS 1 stale_copy 0"}

func TestServe(t *testing.T) {
	lines := append([]string{enlist}, fleet...)
	var out bytes.Buffer
	if err := serve(strings.NewReader(batch(append(lines, "CALL 17 plan - - 900000 100 1 - 1")...)), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); !strings.HasPrefix(got, "AS 3\n") || !strings.Contains(got, "PASS_ON 17 w1 0\n") ||
		!strings.HasSuffix(got, "EOR\n") || strings.Count(got, "AS 3") != 1 {
		t.Errorf("reply %q", got)
	}
}

// The actions of an instance that is killed within the batch are not in the reply: after the restart its requests no
// longer belong to it.
func TestKilledInstanceIsSilent(t *testing.T) {
	lines := append([]string{enlist}, fleet...)
	lines = append(lines, "CALL 17 plan - - 900000 100 1 - 1", "KILL", enlist)
	var out bytes.Buffer
	if err := serve(strings.NewReader(batch(append(lines, fleet...)...)), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); strings.Contains(got, "PASS_ON") || !strings.HasSuffix(got, "EOR\n") {
		t.Errorf("reply %q", got)
	}
}

func TestServeErrors(t *testing.T) {
	for text, want := range map[string]string{
		batch("BELL 5"):                         "line 3: BELL for unknown instance 3",
		batch(`ENLIST 9 {"replicas_of_me": 0}`): "Dispatchers",
		"BEGIN_BATCH 5\nSEL":                    "truncated",
	} {
		var out bytes.Buffer
		if err := serve(strings.NewReader(text), &out); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

package wire

import (
	"fmt"
	"io"
	"math"
	"strings"
	"testing"

	"topazfall"
	"topazfall/internal/decide/affinity"
)

const settings = `{"me": 2, "replicas_of_me": 5, "my_zone": "z", "areas": ["z"], "skus": ["fast", "std"],
 "new_key": [1],
 "classes": [{"name": "plan", "deadline_us": 5000000, "aim_us": 150000, "repeat": "retryable", "points": 1},
 {"name": "book", "deadline_us": 5000000, "aim_us": 1, "repeat": "dedup", "group": "cell", "window_us": 7,
 "points": 3}],
 "realms": [{"name": "t", "share": 0.5, "quota_per_s": 4}], "allowed": {"send_cap": 3, "may_probe": true},
 "domain": {"class_kind": [-1, 0], "class_stretch": [1.75, 2], "tells_start": true}, "stats": {"source": "answers"}}`

// batch returns the begin of a batch in which instance 3 starts, and rest.
func batch(rest string) string {
	return "BEGIN_BATCH 5\nSELECT 3\nENLIST 9 " + strings.ReplaceAll(settings, "\n", "") + "\n" + rest
}

// decode returns the messages of a text and the error that ended the decoding.
func decode(text string) (msgs []Message, err error) {
	d := NewDecoder(strings.NewReader(text))
	for {
		m, err := d.Next()
		if err != nil {
			return msgs, err
		}
		if m.Event != nil {
			e := *m.Event
			m.Event = &e
		}
		msgs = append(msgs, m)
	}
}

func TestSettings(t *testing.T) {
	msgs, err := decode(batch("COMMIT\n"))
	if err != io.EOF || len(msgs) != 3 {
		t.Fatalf("%v, %d messages", err, len(msgs))
	}
	s := msgs[1].Settings
	if s.Seed != 9 || s.Me != 2 || s.Dispatchers != 5 || len(s.Classes) != 2 ||
		s.Classes[1].Repeat != topazfall.Keyed ||
		s.Classes[1].Group != topazfall.GroupCell || s.Classes[1].Kind != "fast" || s.Classes[0].Kind != "" ||
		s.Classes[0].Stretch != 1.75 || !s.Allowed.Probe || s.Allowed.Attempts != 3 || !s.ReportsStart ||
		s.LoadReports != topazfall.ReportsInAnswers || s.Tenants[0].Quota != 4 {
		t.Errorf("%+v", s)
	}
}

func TestEvents(t *testing.T) {
	list := "LIST 0 2\nWORKER w1 z fast 4 ready 1.5 -\nWORKER w2 z std 4 gone 1 77\n"
	for line, want := range map[string]topazfall.Event{
		"CALL 17 book t 99 8000 120 2 - 3": {Kind: topazfall.Arrival, Request: 17, Class: 1, Tenant: 0, Due: 8000,
			Hint: 120, Key: affinity.HashKey("99"), Slots: 2, Retry: true, Load: topazfall.NoLoad},
		"CALL 17 plan 0 - 8000 120 - - 0": {Kind: topazfall.Arrival, Request: 17, Tenant: -1, Due: 8000,
			Load: topazfall.NoLoad},
		"BELL 12": {Kind: topazfall.TimerDue, Token: 12, Tenant: -1, Load: topazfall.NoLoad},
		"NOTICE 17 w1 1 2 0.25": {Kind: topazfall.JobProgress, Request: 17, Worker: "w1", Attempt: 1, Amount: 0.25,
			Tenant: -1, Load: topazfall.NoLoad},
		"CANCELLED_BY_CLIENT 17": {Kind: topazfall.ClientGone, Request: 17, Tenant: -1, Load: topazfall.NoLoad},
		"HEALTH_RESULT w1 completed 1400 busy_reqs:7,cpu_share:0.62,pending:3,x0:-0.4,odd:1": {
			Kind: topazfall.ProbeDone, Worker: "w1", Elapsed: 1400, Tenant: -1,
			Load: topazfall.Load{Queue: 3, Inflight: 7, Free: -0.4, Util: 0.62}},
		"COMPLETED 17 1 w1 severed 18500 0 - -": {Kind: topazfall.AttemptDone, Request: 17, Attempt: 1, Worker: "w1",
			Outcome: topazfall.ConnectionLost, Elapsed: 18500, Tenant: -1, Load: topazfall.NoLoad},
		"FIRST_BYTE 17 9250 0 w1": {Kind: topazfall.StreamStarted, Request: 17, Elapsed: 9250, Worker: "w1", Tenant: -1,
			Load: topazfall.NoLoad},
		"TARGETS 4 broken 0": {Kind: topazfall.ListFailed, Tenant: -1, Load: topazfall.NoLoad},
	} {
		msgs, err := decode(batch(list + line + "\nCOMMIT\n"))
		if err != io.EOF || len(msgs) != 4 {
			t.Errorf("%s: %v", line, err)
			continue
		}
		if got := *msgs[2].Event; fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s:\n got %+v\nwant %+v", line, got, want)
		}
	}
	msgs, err := decode(
		batch(list + "TARGETS 4 patch 0\nLIST 0 0\nTARGETS 5 whole 0\nWHISPER 2 aGkgNw==\nKILL\nCOMMIT\n"))
	if err != io.EOF || len(msgs[2].Event.List) != 2 || len(msgs[3].Event.List) != 0 ||
		msgs[2].Event.List[1].State != topazfall.Gone || msgs[2].Event.List[1].StartedAt != 77 ||
		string(msgs[4].Event.Data) != "hi 7" || msgs[5].Kind != KillInstance {
		t.Errorf("%v, %+v", err, msgs)
	}
}

func TestMalformedInputErrors(t *testing.T) {
	for text, want := range map[string]string{
		"HELLO\n":                                  "line 1: expected BEGIN_BATCH",
		"BEGIN_BATCH 5\n":                          "ends within a batch",
		"BEGIN_BATCH 5\nCOMM":                      "line 2: truncated line",
		"BEGIN_BATCH x\n":                          `line 1: "x" is no whole number`,
		"BEGIN_BATCH 5\nBELL 4\n":                  "before any SELECT",
		"BEGIN_BATCH 5\nSELECT 1\nBELL 4\n":        "line 3: BELL for unknown instance 1",
		"BEGIN_BATCH 5\nSELECT 1\nENLIST 4 {\n":    "unreadable settings",
		batch("DANCE\n"):                           `line 4: unknown message "DANCE"`,
		batch("CALL 17 fly - - 8 1 1 - 1\n"):       `unknown class "fly"`,
		batch("CALL 17 plan -\n"):                  "too few values",
		batch("BELL 4 5\n"):                        "too many values",
		batch("BELL sweep\n"):                      "no timer was set",
		batch("COMPLETED 17 1 w1 fine 1 0 - -\n"):  `unknown outcome "fine"`,
		batch("TARGETS 4 whole 9\n"):               "no list has the number 9",
		batch("LIST 0 1\nCOMMIT\n"):                "expected WORKER",
		batch("LIST 0 1\n"):                        "ends within a list",
		batch("HEALTH_RESULT w1 completed 4 x0\n"): "no name:value pair",
		batch("WHISPER 1 %%\n"):                    "not base64",
		batch("KILL\nBELL 4\n"):                    "unknown instance 3",
	} {
		if _, err := decode(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

func TestAppendAction(t *testing.T) {
	var out []byte
	out = AppendInstance(out, 3)
	for _, a := range []topazfall.Action{
		{Kind: topazfall.Send, Request: 7, Worker: "w1", After: 9}, {Kind: topazfall.Refuse, Request: 7, After: 5},
		{Kind: topazfall.Fail, Request: 7}, {Kind: topazfall.CancelAttempt, Request: 7, Attempt: 1},
		{Kind: topazfall.SetTimer, After: 4, Token: 29}, {Kind: topazfall.ProbeWorker, Worker: "w1"},
		{Kind: topazfall.WatchList}, {Kind: topazfall.FetchList},
		{Kind: topazfall.SendToPeer, Peer: 2, Data: []byte("hi 7")},
		{Kind: topazfall.SendToPeer, Peer: topazfall.AllPeers, Data: []byte{1}},
		{Kind: topazfall.Log, Text: "two words"}} {
		out = AppendAction(out, &a)
	}
	want := "AS 3\nPASS_ON 7 w1 9\nTURN_AWAY 7 5\nABORT 7\nABORT_ATTEMPT 7 1\nWAKE_ME 4 29\nASK_LOAD w1\nFOLLOW 1\n" +
		"QUERY_ALL\nNOTIFY 2 aGkgNw==\nNOTIFY all AQ==\nNOTE_DOWN two words\nEOR\n"
	if got := string(AppendEndOfReply(out)); got != want {
		t.Errorf("got %s", got)
	}
}

func TestParseDecimal(t *testing.T) {
	for text, want := range map[string]float64{"0": 0, "12.5": 12.5, "-3": -3, "1e3": 1000, "0.000001": 1e-6,
		"1e999": math.Inf(1)} {
		if got, err := parseDecimal([]byte(text)); err != nil || got != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "x", "1.2.3", "."} {
		if v, err := parseDecimal([]byte(text)); err == nil {
			t.Errorf("%q: %v", text, v)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(batch("COMMIT\nBEGIN_BATCH 6\nCOMMIT\n"))
	f.Add(batch("LIST 0 1\nWORKER w1 z fast 4 ready 1.5 -\nTARGETS 4 stale_copy 0\n" +
		"CALL 17 book t 99 8000 120 2 - 3\nCOMMIT\n"))
	f.Add(batch("COMPLETED 17 1 w1 severed 18500 0 - pending:1,x0:nan\nHEALTH_RESULT w1 overdue 5 -\nKILL\nCOMMIT\n"))
	f.Add("BEGIN_BATCH 9223372036854775807\nSELECT -1\nLIST 0 99999999999\n")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := decode(text); err == nil {
			t.Error("decoding ended without a reason")
		}
	})
}

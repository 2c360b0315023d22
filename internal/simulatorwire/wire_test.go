package simulatorwire

import (
	"strings"
	"testing"
)

const given = `{"family_info":{"aim_us_per_1000_prompt_tokens":[60000],"release_ns":500000000,"role_by_kind":["read","write"],` +
	`"token_aim_ns":[50000000],"new_key":1},"limits":{"cancel":true,"max_attempts":5},"localities":["a"],` +
	`"machine_types":["r","w"],"request_classes":[{"name":"ask","effect":"idempotent","dedup_scope":"all",` +
	`"on_time_ns":1000000000,"give_up_ns":5000000000}],"round_ns":4000000,"siblings":1,"zone":"a",` +
	`"rules":{"answer_slack_ns":16000000}}`

const begin = "SYNC 1000000000\nENLIST 3 77 " + given + "\nFLEET 3 restored 1 2\nENTRY 11 a r 0 IN 1 -\nENTRY 12 a w 0 IN 1.5 -\nEOB\n"

const job = "JOB_IN 3 9 256 - - 6000000000 0 91f03b7c55d20a64 0 0 - 1200 ask\n"

func TestFraming(t *testing.T) {
	in := "SYNC 1000000000\nEOB\n" + begin +
		"SYNC 1004000000\n" + job + "EOB\n" +
		"SYNC 1008000000\nVERDICT 3 9 0 11 handover 4000000 0 0 x9:1,x1:0.5\nEOB\n" +
		"SYNC 1012000000\nACCEPTED 3 9 1 12 4000000\nVERDICT 3 9 1 12 Ok 4000000 1 0 -\nVANISHED 3 9\nEOB\n" +
		"SYNC 1012000000\nPOWER_OFF 3\nEOB\n" +
		"SYNC 1016000000\nDEADLINE_HIT 3 0\n" + job + "EOB\n" +
		"SYNC 1020000000\nPOWER_OFF 3\nENLIST 3 78 " + given + "\nFLEET 3 restored 1 0\nEOB\n"
	var out strings.Builder
	if err := Serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(out.String(), "EOR\n")
	for i, want := range []string{"", "", "ATTEMPT 3 9 11 ", "ATTEMPT 3 9 12 ", "", "", "", ""} {
		if got := replies[i]; !strings.HasPrefix(got, want) || want == "" && strings.Contains(got, "ATTEMPT") {
			t.Errorf("reply %d is %q, want it to start with %q", i, got, want)
		}
	}
}

func TestBadInput(t *testing.T) {
	for in, want := range map[string]string{
		"HELLO\n":                         `line 1: a batch starts with SYNC, not "HELLO"`,
		"SYNC soon\nEOB\n":                `line 1: SYNC: clock cannot be "soon"`,
		"SYNC 1\nWHAT 3\nEOB\n":           `line 2: unknown message "WHAT"`,
		"SYNC 1\nVANISHED 3\nEOB\n":       "line 2: VANISHED: txn is missing",
		"SYNC 1\nDEADLINE_HIT 3 x\nEOB\n": `line 2: DEADLINE_HIT: label cannot be "x"`,
		"SYNC 1\n":                        "line 1: the input ends inside a batch, before EOB",
		begin + "SYNC 2\n" + strings.Replace(job, "ask", "beg", 1) + "EOB\n":              `tier_class cannot be "beg"`,
		begin + "SYNC 2\nVERDICT 3 9 0 11 Fine 1 0 0 -\nEOB\n":                            `rc cannot be "Fine"`,
		begin + "SYNC 2\nFLEET 3 update 2 1\nENTRY 11 b r 0 IN 1 -\nEOB\n":                `site cannot be "b"`,
		strings.Replace(begin, `"release_ns":500000000,`, "", 1):                          "release_ns is missing",
		strings.Replace(begin, `"on_time_ns":1000000000`, `"on_time_ns":0`, 1):            "target 0",
		strings.Replace(begin, `"role_by_kind":["read","write"]`, `"role_by_kind":[]`, 1): "role_by_kind has 0 entries",
	} {
		var out strings.Builder
		err := Serve(strings.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
		if s := strings.ReplaceAll(out.String(), "EOR\n", ""); s != "" && !strings.HasPrefix(s, "NOTIFY_ME") {
			t.Errorf("output %q beside replies", s)
		}
	}
}

func TestPanicIsReported(t *testing.T) {
	in := &instance{}
	in.guarded(func() { panic("out of\nreach") })
	var out strings.Builder
	h := newHost(strings.NewReader(""), &out)
	h.pull(4, in)
	h.out.Flush()
	if out.String() != "INTERNAL_ERROR 4 out of reach\n" {
		t.Errorf("got %q", out.String())
	}
}

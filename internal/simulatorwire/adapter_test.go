package simulatorwire

import (
	"strings"
	"testing"
)

const configuration = `{"family_info":{"aim_us_per_1000_prompt_tokens":[60000],"release_ns":500000000,` +
	`"role_by_kind":["read","write"],"token_aim_ns":[50000000],"new_key":1},` +
	`"limits":{"cancel":true,"max_attempts":5},"localities":["a"],` +
	`"machine_types":["r","w"],"request_classes":[{"name":"ask","effect":"idempotent","dedup_scope":"all",` +
	`"on_time_ns":1000000000,"give_up_ns":5000000000}],"round_ns":4000000,"siblings":1,"zone":"a",` +
	`"rules":{"answer_slack_ns":16000000}}`

const startBatch = "SYNC 1000000000\nENLIST 3 77 " + configuration + "\n" +
	"FLEET 3 restored 1 2\nENTRY 11 a r 0 IN 1 -\nENTRY 12 a w 0 IN 1.5 -\nEOB\n"

const requestLine = "JOB_IN 3 9 256 - - 6000000000 0 91f03b7c55d20a64 0 0 - 1200 ask\n"

// TestReplies checks that each batch has its reply, and which batches cause an attempt.
func TestReplies(t *testing.T) {
	input := "SYNC 1000000000\nEOB\n" + startBatch +
		"SYNC 1004000000\n" + requestLine + "EOB\n" +
		"SYNC 1008000000\nVERDICT 3 9 0 11 handover 4000000 0 0 x9:1,x1:0.5\nEOB\n" +
		"SYNC 1012000000\nACCEPTED 3 9 1 12 4000000\nVERDICT 3 9 1 12 Ok 4000000 1 0 -\nVANISHED 3 9\nEOB\n" +
		"SYNC 1012000000\nPOWER_OFF 3\nEOB\n" +
		"SYNC 1016000000\nDEADLINE_HIT 3 0\n" + requestLine + "EOB\n" +
		"SYNC 1020000000\nPOWER_OFF 3\nENLIST 3 78 " + configuration + "\nFLEET 3 restored 1 0\nEOB\n"
	var output strings.Builder
	if err := Serve(strings.NewReader(input), &output); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(output.String(), "EOR\n")
	for i, want := range []string{"", "", "ATTEMPT 3 9 11 ", "ATTEMPT 3 9 12 ", "", "", "", ""} {
		if got := replies[i]; !strings.HasPrefix(got, want) || want == "" && strings.Contains(got, "ATTEMPT") {
			t.Errorf("reply %d is %q, want it to start with %q", i, got, want)
		}
	}
}

// TestInvalidInput checks the error for each invalid input, and that the instance has written no decision but a timer.
func TestInvalidInput(t *testing.T) {
	for input, want := range map[string]string{
		"HELLO\n":                         `line 1: a batch must start with SYNC, not "HELLO"`,
		"SYNC soon\nEOB\n":                `line 1: SYNC: invalid clock "soon"`,
		"SYNC 1\nWHAT 3\nEOB\n":           `line 2: unknown message "WHAT"`,
		"SYNC 1\nVANISHED 3\nEOB\n":       "line 2: VANISHED: txn is missing",
		"SYNC 1\nDEADLINE_HIT 3 x\nEOB\n": `line 2: DEADLINE_HIT: invalid label "x"`,
		"SYNC 1\n":                        "line 1: the input ended inside a batch, before EOB",

		startBatch + "SYNC 2\n" + strings.Replace(requestLine, "ask", "beg", 1) + "EOB\n": `invalid tier_class "beg"`,
		startBatch + "SYNC 2\nVERDICT 3 9 0 11 Fine 1 0 0 -\nEOB\n":                       `invalid rc "Fine"`,
		startBatch + "SYNC 2\nFLEET 3 update 2 1\nENTRY 11 b r 0 IN 1 -\nEOB\n":           `invalid site "b"`,
		"SYNC 1\nFLEET 3 update 2 1\nENTRY 11 a r 0 UP 1 -\nEOB\n":                        `invalid health "UP"`,

		strings.Replace(startBatch, `"release_ns":500000000,`, "", 1): "release_ns is missing",

		strings.Replace(startBatch, `"on_time_ns":1000000000`, `"on_time_ns":0`, 1): "class 0: latency target is 0 ns",

		strings.Replace(startBatch, `"role_by_kind":["read","write"]`, `"role_by_kind":[]`, 1): "role_by_kind has 0 entries",
	} {
		t.Run(want, func(t *testing.T) {
			var output strings.Builder
			err := Serve(strings.NewReader(input), &output)
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("error %v, want one with %q", err, want)
			}
			decisions := strings.ReplaceAll(output.String(), "EOR\n", "")
			if decisions != "" && !strings.HasPrefix(decisions, "NOTIFY_ME") {
				t.Errorf("decisions %q, want none but NOTIFY_ME", decisions)
			}
		})
	}
}

// TestPanicIsReported checks that a panic in the policy is written as one line.
func TestPanicIsReported(t *testing.T) {
	dispatcher := &instance{}
	dispatcher.call(func() { panic("out of\nreach") })
	var output strings.Builder
	a := newAdapter(strings.NewReader(""), &output)
	a.writeDecisions(4, dispatcher)
	if err := a.out.Flush(); err != nil {
		t.Fatal(err)
	}
	if output.String() != "INTERNAL_ERROR 4 out of reach\n" {
		t.Errorf("got %q", output.String())
	}
}

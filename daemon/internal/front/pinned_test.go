package front

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// Guards against reads that run with the session values of another caller (PINNED): a
// primary that was replaced during a transaction refused the values set in it, and later
// statements on the connection, of any caller, ran with those of before.
func TestReplacedPrimaryLeavesNoForeignSessionValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, serviceOptions)
		defer env.close()
		time.Sleep(300 * time.Millisecond)
		c := env.connect("c1", primaryDatabase)
		c.want(statement.OK, set("tenant", "t1"))
		c.want(statement.OK, ofKind(statement.Begin))
		c.want(statement.OK, read("x"))
		env.promote("s2", 1)
		c.want(statement.OK, set("tenant", "t2"))
		if a := c.do(read("x")); a.Code != statement.ReadOnly {
			t.Errorf("statement on the replaced primary got %s, want the refusal of its values, after which the caller may retry", a.Code)
		}
		c.want(statement.OK, ofKind(statement.Rollback))
		time.Sleep(testStaleness)

		readers := []*caller{env.connect("r1", boundedDatabase), env.connect("r2", boundedDatabase)}
		onReplaced := 0
		for i, r := range readers {
			r.want(statement.OK, set("tenant", []string{"t1", "t2"}[i]))
		}
		for range 30 {
			for i, r := range readers {
				sig, err := statementtest.ParseSignature(r.want(statement.OK, read("x")).Signature)
				if err != nil {
					t.Fatal(err)
				}
				if want := []string{"tenant=t1", "tenant=t2"}[i]; sig.Values != want {
					t.Errorf("read at server %s ran with session values %q, want %q", sig.Server, sig.Values, want)
				}
				if sig.Server == "s1" {
					onReplaced++
				}
			}
		}
		if onReplaced == 0 {
			t.Error("no read ran on the replaced primary")
		}
	})
}

package demo

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

// ownerRank asks a host for its rank among the owners of a database; ok is
// false if it is none of them.
func ownerRank(ctx context.Context, h hostLayout, database string) (rank int, ok bool, err error) {
	client := peerapi.NewOperatorProtobufClient("http://"+h.peers, http.DefaultClient)
	st, err := client.Status(ctx, &peerapi.StatusRequest{})
	if err != nil {
		return 0, false, fmt.Errorf("status of %s: %w", h.name, err)
	}
	for _, db := range st.GetDatabases() {
		if db.GetDatabase() == database {
			return int(db.GetOwnerRank()), true, nil
		}
	}
	return 0, false, nil
}

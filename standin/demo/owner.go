package demo

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

// ownerRank queries a host for its rank among the owners of a database. Rank 0 is the
// first owner; ok is false if the host does not own the database.
func ownerRank(ctx context.Context, h hostLayout, database string) (rank int, ok bool, err error) {
	client := peerapi.NewOperatorProtobufClient("http://"+h.peers, http.DefaultClient)
	st, err := client.Status(ctx, &peerapi.StatusRequest{})
	if err != nil {
		return 0, false, fmt.Errorf("query status of host %s: %w", h.name, err)
	}
	for _, db := range st.GetDatabases() {
		if db.GetDatabase() == database {
			return int(db.GetOwnerRank()), true, nil
		}
	}
	return 0, false, nil
}

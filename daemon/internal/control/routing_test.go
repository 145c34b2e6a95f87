package control

import (
	"testing"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/daemon/internal/board"
	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

// Guards against requests that wait at an owner without connections although the
// other owner could serve them.
func TestOwnerWithoutShareServesNothing(t *testing.T) {
	share := 0
	group := &board.Group{Router: &route.OwnerRouter{}, Share: func() int { return share }}
	d := Directory{Board: board.New(&board.View{
		Config: config.NewSnapshot(0, nil),
		Groups: map[string]*board.Group{"d": group},
	})}
	if d.Local("d") != nil {
		t.Error("an owner without a share serves the database")
	}
	share = 1
	if d.Local("d") == nil {
		t.Error("an owner with a share does not serve the database")
	}
	if d.Local("other") != nil {
		t.Error("a host serves a database that it does not own")
	}
}

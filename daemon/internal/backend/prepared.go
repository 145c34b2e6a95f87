package backend

import (
	"strconv"
	"sync"
)

// preparedStatement identifies a prepared statement by what it does.
type preparedStatement struct {
	template string
	writes   bool
}

// preparedNames assigns names to prepared statements on backend connections. Equal
// statements of all sessions share a name.
var preparedNames struct {
	sync.Mutex
	known map[preparedStatement]string
	next  int
}

// maxPreparedNames is the maximum number of names kept. All names are dropped when
// it is reached, and statements used again then get new names.
const maxPreparedNames = 10_000

// PreparedName returns the name of a prepared statement on the connections of this
// host. Names of other hosts mean other statements.
func PreparedName(template string, writes bool) string {
	p := preparedStatement{template, writes}
	preparedNames.Lock()
	defer preparedNames.Unlock()
	if name, known := preparedNames.known[p]; known {
		return name
	}
	if preparedNames.known == nil || len(preparedNames.known) >= maxPreparedNames {
		preparedNames.known = map[preparedStatement]string{}
	}
	preparedNames.next++
	name := "g" + strconv.Itoa(preparedNames.next)
	preparedNames.known[p] = name
	return name
}

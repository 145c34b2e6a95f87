package fleet

// cgo is used so that the program is linked against the C library, as the
// users' machines need.

import "C"

package fleet

// Importing "C" links the program against the C library, which the users'
// machines require.

import "C"

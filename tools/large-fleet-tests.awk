# Prints the names of the tests that call deployLarge, joined by "|".
/^func / { test = "" }
/^func Test/ {
	test = $2
	sub(/\(.*/, "", test)
}
/deployLarge\(/ && test != "" && !(test in seen) {
	seen[test] = 1
	printf "%s%s", separator, test
	separator = "|"
}

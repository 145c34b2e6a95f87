# Turns the output of "go test -v -bench" into table rows of the measured
# figures, which docs/CAPACITY.md quotes.
/^pkg:/ { package = $2; sub(/^github.com\/gypsumgap\/gypsumgap\//, "", package) }
/^Benchmark.*ns\/op/ {
	name = $1
	sub(/^Benchmark/, "", name)
	sub(/-[0-9]+$/, "", name)
	row = ""
	for (i = 3; i < NF; i += 2)
		if ($(i + 1) != "ns/op") row = row (row == "" ? "" : ", ") $i " " $(i + 1)
	printf "| %s | %s | %s |\n", package, name, row
}
/ capacity: / {
	test = $0
	sub(/.* capacity: /, "", test)
	file = $1
	sub(/:[0-9]+:$/, "", file)
	printf "| %s | %s | |\n", file, test
}
/^(FAIL|--- FAIL|panic)/ { print; failed = 1 }
END { exit failed }

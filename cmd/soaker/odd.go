package main

import (
	"fmt"
	"strings"
)

// nesting is the depth of a very deeply nested entry.
const nesting = 100_000

// oddEntries returns entries that name no runner to use.
func oddEntries() [][]byte {
	runner := func(address, cpu, born string) []byte {
		return []byte(fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"zone-a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,`+
			`"room":{"cpu":%s,"mem_mb":262144,"gpu":0},"labels":["a","r1-0"],"clock_ms":1,"seq":1,"born":%s}`, service, address, cpu, born))
	}
	return [][]byte{
		[]byte(strings.Repeat("[", nesting) + strings.Repeat("]", nesting)),
		[]byte(strings.Repeat(`{"a":`, nesting) + "1" + strings.Repeat("}", nesting)),
		runner("127.0.0.1:99999", "64000", "1700000000000"),
		runner("127.0.0.1:-1", "64000", "1700000000000"),
		runner("[::1", "64000", "1700000000000"),
		runner("127.0.0.1:1", "1e400", "1700000000000"),
		runner("127.0.0.1:1", "1e300", "1700000000000"),
		runner("127.0.0.1:1", "-1e300", "1700000000000"),
		runner("127.0.0.1:1", "64000", "1e300"),
		runner("127.0.0.1:1", "64000", "-1e30"),
	}
}

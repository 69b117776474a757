// Command stand3 plays the cases of the third review: it starts instances of railentry beside a
// store, engines and clients of its own, and judges what these have seen.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func() int{"origins": origins, "partition": partition, "bodies": bodies, "late": late, "forwarded": forwarded}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand3 CASE")
		os.Exit(2)
	}
	freePorts()
	os.Exit(cases[os.Args[1]]())
}

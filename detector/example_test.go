package detector_test

import (
	"fmt"
	"time"

	"lagoonstile"
	"lagoonstile/detector"
)

// Two instances report the answers that they saw in one second. Server b fails
// half of its requests.
func Example() {
	service := detector.New("proxy-1")
	service.SetServers([]lagoonstile.ServerID{"a", "b", "c"})
	for _, origin := range []detector.Origin{"proxy-1", "proxy-2"} {
		service.Observe("a", origin, detector.Evidence{Good: 20})
		service.Observe("b", origin, detector.Evidence{Good: 5, Bad: 5})
		service.Observe("c", origin, detector.Evidence{Good: 20})
	}
	const falseEjectionsPerWeek = 0.1
	for _, finding := range service.Evaluate(time.Unix(0, 0), falseEjectionsPerWeek) {
		fmt.Printf("%s: failing %t, %d bad of %d\n", finding.Server, finding.Failing, finding.Bad, finding.Bad+finding.Good)
	}
	// Output:
	// a: failing false, 0 bad of 0
	// b: failing true, 10 bad of 20
	// c: failing false, 0 bad of 0
}

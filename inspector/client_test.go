package inspector

import (
	"net"
	"net/http"
	"testing"

	"lagoonstile/internal/faker"
)

// roundTripper is a transport of no known type.
type roundTripper struct{ *http.Transport }

// TestClientChecksResponses checks which clients' responses are checked, and that a Client
// keeps the settings of the client that it is given.
func TestClientChecksResponses(t *testing.T) {
	address := faker.Server{Response: "HTTP/1.1 200 OK\r\nOdd Name: v\r\nContent-Length: 0\r\n\r\n", End: faker.Close}.Start(t)
	dialed := 0
	dial := func(network, address string) (net.Conn, error) {
		dialed++
		return net.Dial(network, address)
	}
	tests := []struct {
		name   string
		client *http.Client
		// checked is set if the response must be refused, and dials is how often dial must
		// be called.
		checked bool
		dials   int
	}{
		{"none", nil, true, 0},
		{"default", http.DefaultClient, true, 0},
		{"zero value", &http.Client{}, true, 0},
		{"plain transport", &http.Client{Transport: &http.Transport{}}, true, 0},
		//lint:ignore SA1019 Users may still set it.
		{"own dial", &http.Client{Transport: &http.Transport{Dial: dial}}, true, 1},
		{"checked transport", &http.Client{Transport: NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext}, Limits{})}, true, 0},
		{"other transport", &http.Client{Transport: roundTripper{&http.Transport{}}}, false, 0},
	}
	for _, test := range tests {
		var c Client
		dialed = 0
		req, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := c.Do(test.client, req)
		if err == nil {
			_ = res.Body.Close()
		}
		if (err != nil) != test.checked || dialed != test.dials {
			t.Errorf("%s: error %v, %d dials; want an error: %t, and %d dials", test.name, err, dialed, test.checked, test.dials)
		}
	}
}

package inspector

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Client sends requests by a client of net/http and checks the responses. The zero value is
// ready to use. It must not be copied after its first use.
type Client struct {
	once    sync.Once
	checked *http.Client
}

// Do sends a request by a client, which must be the same in all calls; nil means
// http.DefaultClient. The response is checked if the client's transport is a Transport or,
// as that of most clients, a *http.Transport. Connections of the latter are not used, but
// others with the same settings.
func (c *Client) Do(client *http.Client, req *http.Request) (*http.Response, error) {
	c.once.Do(func() {
		if client == nil {
			c.checked = defaultClient()
			return
		}
		c.checked = check(client)
	})
	return c.checked.Do(req)
}

// defaultClient is the client for users that have none of their own.
var defaultClient = sync.OnceValue(func() *http.Client { return check(http.DefaultClient) })

// check returns a copy of a client whose transport checks responses.
func check(client *http.Client) *http.Client {
	transport := client.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	plain, ok := transport.(*http.Transport)
	if !ok {
		return client
	}
	plain = plain.Clone()
	plain.DialContext = dialer(plain)
	checked := *client
	checked.Transport = NewTransport(plain, DefaultLimits)
	return &checked
}

// dialer returns the function by which a transport dials.
func dialer(transport *http.Transport) func(ctx context.Context, network, address string) (net.Conn, error) {
	if transport.DialContext != nil {
		return transport.DialContext
	}
	//lint:ignore SA1019 Users may still set Dial in place of DialContext.
	dial := transport.Dial
	if dial == nil {
		return (&net.Dialer{}).DialContext
	}
	return func(_ context.Context, network, address string) (net.Conn, error) { return dial(network, address) }
}

package platformtest

import (
	"io"
	"log"
	"net/http/httptest"
	"testing"

	"chutereach/platform"
	"chutereach/platformhttp"
	"chutereach/standin"
)

func embedded(t *testing.T) (platform.Platform, *standin.Platform) {
	s := standin.New([]platform.Worker{Worker})
	t.Cleanup(s.Fleet.Close)
	return s.Interfaces(), s
}

func TestEmbeddedKeepsTheContract(t *testing.T) { Run(t, embedded) }

func TestHTTPKeepsTheContract(t *testing.T) {
	Run(t, func(t *testing.T) (platform.Platform, *standin.Platform) {
		p, s := embedded(t)
		server := httptest.NewUnstartedServer(platformhttp.Handler(p))
		server.Config.ErrorLog = log.New(io.Discard, "", 0) // cut connections are meant
		server.Start()
		t.Cleanup(server.Close)
		return platformhttp.Dial(server.URL, ""), s
	})
}

// A platform that nobody listens at has surely not carried a request out.
func TestUnreachablePlatformIsUnavailable(t *testing.T) {
	server := httptest.NewServer(nil)
	url := server.URL
	server.Close()
	_, err := platformhttp.Dial(url, "").Table.Commit(t.Context(), put("1", "a", 0, "x"))
	want[*platform.UnavailableError](t, err)
}

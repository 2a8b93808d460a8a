package transfer_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"chutereach/transfer"
)

func TestRead(t *testing.T) {
	const body = "0123456789"
	cut := errors.New("cut")
	t.Run("a whole body", func(t *testing.T) {
		data, received, err := transfer.Read(strings.NewReader(body), int64(len(body)))
		if err != nil || string(data) != body || received.Bytes != len(body) {
			t.Errorf("%q, %d bytes, %v", data, received.Bytes, err)
		}
	})
	t.Run("one byte too many", func(t *testing.T) {
		var large *transfer.TooLargeError
		if _, _, err := transfer.Read(strings.NewReader(body), int64(len(body)-1)); !errors.As(err, &large) {
			t.Errorf("got %v, want TooLargeError", err)
		}
	})
	t.Run("a body that breaks off", func(t *testing.T) {
		broken := io.MultiReader(strings.NewReader(body), iotest.ErrReader(cut))
		_, _, err := transfer.Read(broken, 1<<10)
		if !errors.Is(err, cut) || transfer.ReceivedBefore(err).Bytes != len(body) {
			t.Errorf("%v after %d bytes", err, transfer.ReceivedBefore(err).Bytes)
		}
	})
}

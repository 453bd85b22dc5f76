package peerws

import (
	"context"
	"fmt"
	"net/http"
)

const (
	// StatusPath is where daemons ask each other for their state, when an
	// operator asks one of them for the fleet's.
	StatusPath = "/v1/status"
	// maxStatusBytes bounds one answer.
	maxStatusBytes = 64 << 10
)

// StatusHandler answers with the CBOR form of what status returns.
func StatusHandler(status func() any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := encoder.Marshal(status())
		if err != nil {
			http.Error(w, "status cannot be encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentTypeCBOR)
		_, _ = w.Write(data)
	})
}

// Status reads the state of the peer at address into out, a pointer to the
// type that its StatusHandler returns.
func (a *Asker) Status(ctx context.Context, address string, out any) error {
	data, _, err := a.get(ctx, address, StatusPath, nil)
	if err != nil {
		return err
	}
	if len(data) > maxStatusBytes {
		return fmt.Errorf("%w: status of %s exceeds %d bytes", ErrProtocol, address, maxStatusBytes)
	}
	if err := decoder.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: status of %s: %w", ErrProtocol, address, err)
	}
	return nil
}

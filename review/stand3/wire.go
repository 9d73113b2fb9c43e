//go:build review

package main

import (
	"io"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// All bodies are CBOR, as deploy/wire.toml says.

func encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = cbor.Unmarshal(data, into)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	return err == nil
}

func answer(w http.ResponseWriter, status int, body any) {
	data := encode(body)
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Command toy simulates the environment of a courier, for trying it out: one partner system that
// accepts every message, and the platform's agent.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"strconv"
	"time"
)

func main() {
	partner := flag.String("partner", "127.0.0.1:9001", "listen address of the partner system")
	agent := flag.String("agent", "127.0.0.1:9000", "listen address of the platform's agent")
	flag.Parse()

	partnerMux := http.NewServeMux()
	partnerMux.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		fmt.Printf("partner: message %s: %q\n", r.Header.Get("X-Request-ID"), body)
	})
	agentMux := http.NewServeMux()
	agentMux.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) {
		list := map[string]any{"generation": 1, "reset": true, "instances": []any{map[string]any{
			"instanceId": "toy", "hostPort": *partner, "zone": "here", "machineType": "toy", "cell": 1,
			"lifecycle": "Ready", "weight": 1, "startedAtMs": 0,
		}}}
		if r.FormValue("after") == "1" { // a watch: the list never changes, so wait for the timeout
			wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
			select {
			case <-r.Context().Done():
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
			list = map[string]any{"generation": 1, "reset": false, "instances": []any{}}
		}
		if err := json.NewEncoder(w).Encode(list); err != nil {
			log.Print(err)
		}
	})
	agentMux.HandleFunc("POST /v1/outcomes", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		fmt.Printf("platform: %s", body)
		w.WriteHeader(http.StatusNoContent)
	})
	go func() { log.Fatal(http.ListenAndServe(*partner, partnerMux)) }()
	log.Fatal(http.ListenAndServe(*agent, agentMux))
}

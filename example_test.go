package snowjunction_test

import (
	"fmt"
	"time"

	"snowjunction"
)

func Example() {
	courier, err := snowjunction.New(snowjunction.Settings{
		Fleet: 1, Tick: 5 * time.Millisecond, Slots: 4, MaxHeld: 100,
		Classes: []snowjunction.Class{{
			Name: "notice", Effect: snowjunction.Safe,
			TargetLatency: time.Second, Deadline: 10 * time.Second, Value: 1,
		}},
		Kinds: []snowjunction.Kind{{BundleMax: 1}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := courier.Handle(0, []snowjunction.Event{
		snowjunction.List{Kind: snowjunction.ListFull, Endpoints: []snowjunction.Endpoint{
			{ID: 7, Destination: 1, Phase: snowjunction.Ready},
		}},
		snowjunction.Request{ID: 42, Destination: 1, Deadline: 10 * time.Second},
	})
	for _, a := range actions {
		if send, ok := a.(snowjunction.Send); ok {
			fmt.Printf("request %d goes to endpoint %d\n", send.Request, send.Endpoint)
		}
	}
	// Output: request 42 goes to endpoint 7
}

package service

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/walnutcove/walnutcove/target"
)

func TestAnswerCarriesMarkAndCount(t *testing.T) {
	s := New(Options{})
	address, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	client := target.NewHTTPClient(target.Options{})
	defer client.Close()
	for want := 1; want <= 2; want++ {
		resp, err := client.Do(context.Background(), target.Request{
			ID: "r", Address: address, Method: "POST", Path: "/svc/deploy?millis=1",
			Header: map[string]string{target.HeaderIdempotencyKey: "k1"},
			Body:   []byte("site mark:school-7"),
		})
		if err != nil {
			t.Fatal(err)
		}
		var a Answer
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if a != (Answer{Mark: "school-7", Path: "/svc/deploy", Key: "k1", Count: want}) {
			t.Fatalf("answer is %+v", a)
		}
	}
	load, err := client.Load(context.Background(), address)
	if err != nil || load.Slots != DefaultSlots {
		t.Fatalf("load %+v, error %v", load, err)
	}
}

package guard_test

import (
	"encoding/json"
	"testing"

	"chutereach/guard"
)

type atMostThree struct{}

func (atMostThree) Max() int { return 3 }

func TestBoundedValues(t *testing.T) {
	type values struct {
		List guard.List[int, atMostThree]
		Map  guard.Map[string, atMostThree]
	}
	cases := []struct {
		text   string
		fails  bool
		length int
	}{
		{`{"list":[1,2,3]}`, false, 3}, {`{"list":[1,2,3,4]}`, true, 3}, {`{"list":null}`, false, 0}, {`{"list":{}}`, true, 0},
		{`{"list":[1,"x"]}`, true, 1}, {`{"map":{"a":"1","b":"2","c":"3"}}`, false, 3}, {`{"map":{"a":"1","b":"2","c":"3","d":"4"}}`, true, 3},
		{`{"map":{"a":"1","a":"2","a":"3","a":"4"}}`, false, 1}, {`{"map":[]}`, true, 0}, {`{"map":{"a":1}}`, true, 0},
	}
	for _, test := range cases {
		t.Run(test.text, func(t *testing.T) {
			var got values
			err := json.Unmarshal([]byte(test.text), &got)
			if n := len(got.List) + len(got.Map); (err != nil) != test.fails || n != test.length {
				t.Errorf("got %d elements, error %v; want %d elements, failure: %v", n, err, test.length, test.fails)
			}
			if err != nil && len(err.Error()) > 200 {
				t.Errorf("error of %d bytes", len(err.Error()))
			}
		})
	}
}

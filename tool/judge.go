package tool

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// judge compares what the callers were told with what the workers saw.
func (b *burstCommand) judge(results []*burstResult) []string {
	if b.Witness == "" {
		return nil
	}
	w, err := b.witnessed()
	if err != nil {
		return []string{"the witness does not answer: " + err.Error()}
	}
	broken := w.Broken
	for _, r := range results {
		broken = append(broken, r.judge(w)...)
	}
	return broken
}

// witnessed asks the stand-in what its workers saw.
func (b *burstCommand) witnessed() (w Witnessed, err error) {
	resp, err := http.Get(b.Witness + witnessPath)
	if err != nil {
		return w, err
	}
	defer resp.Body.Close()
	return w, json.NewDecoder(resp.Body).Decode(&w)
}

func (r *burstResult) judge(w Witnessed) []string {
	var broken []string
	for id := range r.jobs {
		for task := 0; ; task++ {
			name := string(id) + "/" + strconv.Itoa(task)
			if w.Starts[name] == 0 {
				break
			}
			if w.Ends[name] != 1 {
				broken = append(broken, fmt.Sprintf("task %s ran to its end %d times", name, w.Ends[name]))
			}
		}
	}
	return broken
}

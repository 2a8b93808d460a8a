package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a log line. Read fails on a longer one.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	Time    time.Time      `json:"time"`
	Box     string         `json:"box"` // the box that wrote the line
	Message string         `json:"message"`
	Job     string         `json:"job,omitempty"`
	Fields  map[string]any `json:"fields,omitempty"` // the fields not listed above, except level and part
}

// LogError reports that a log could not be read.
type LogError struct {
	Name  string
	Cause error
}

func (e *LogError) Error() string { return fmt.Sprintf("reading log %s: %v", e.Name, e.Cause) }

func (e *LogError) Unwrap() error { return e.Cause }

// Read parses a log with one JSON object per line. A line may have a prefix added by a log
// collector: the last word of it that contains a lower-case letter names the box. Without
// such a word, the box is name. Lines that are not log lines are skipped and counted.
func Read(r io.Reader, name string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text(), name)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, &LogError{name, err}
	}
	return lines, skipped, nil
}

func parseLine(text, name string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
		return Line{}, false
	}
	line := Line{Box: boxName(text[:begin], name), Fields: fields}
	line.Message, _ = fields["message"].(string)
	line.Job, _ = fields["job"].(string)
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = at
	for _, key := range []string{"message", "job", "time", "level", "part"} {
		delete(fields, key)
	}
	return line, true
}

func boxName(prefix, name string) string {
	words := strings.Fields(prefix)
	slices.Reverse(words)
	for _, word := range words {
		if strings.ContainsFunc(word, func(c rune) bool { return 'a' <= c && c <= 'z' }) {
			return word
		}
	}
	return name
}

// stringField returns a string field, or "" if it is missing or of another type.
func (l Line) stringField(key string) string {
	text, _ := l.Fields[key].(string)
	return text
}

// stringsField returns the strings in an array field.
func (l Line) stringsField(key string) []string {
	list, _ := l.Fields[key].([]any)
	var texts []string
	for _, item := range list {
		if text, ok := item.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// durationField returns a numeric field in milliseconds as a duration.
func (l Line) durationField(key string) time.Duration {
	ms, _ := l.Fields[key].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

package resister_test

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// readPause delays the answer of a read that finds nothing, which readers repeat at once.
const readPause = 50 * time.Millisecond

// readBytes is the size from which on a read returns no more records, the platform's default.
const readBytes = 1 << 20

// log is an in-memory log with one partition per topic, served over HTTP.
type log struct {
	mu     sync.Mutex
	topics map[string][][]byte
	epochs map[string]int64
}

// ServeHTTP implements http.Handler.
func (l *log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	switch r.URL.Path {
	case "/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, answer := l.append(topic, query.Get("at"), query.Get("epoch"), body)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	case "/log-read":
		from, _ := strconv.Atoi(query.Get("from"))
		records := l.records(topic)
		if from >= len(records) {
			time.Sleep(readPause)
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, record := range records[min(from, len(records)):] {
			if len(out) > readBytes {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
			out = append(out, record...)
		}
		_, _ = w.Write(out)
	case "/log-newest":
		_ = json.NewEncoder(w).Encode(newest(l.records(topic)))
	default:
		http.NotFound(w, r)
	}
}

func (l *log) records(topic string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.topics[topic])
}

// append appends records unless the topic ends elsewhere than at, if that is given, or the
// epoch is an old one.
func (l *log) append(topic, at, epoch string, body []byte) (status int, answer map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := len(l.topics[topic])
	if at != "" && at != strconv.Itoa(first) {
		return http.StatusPreconditionFailed, map[string]any{"end": first}
	}
	if n, err := strconv.ParseInt(epoch, 10, 64); err == nil {
		if n < l.epochs[topic] {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		l.epochs[topic] = n
	}
	for len(body) > 4 {
		end := 4 + binary.BigEndian.Uint32(body)
		l.topics[topic] = append(l.topics[topic], body[4:end])
		body = body[end:]
	}
	return http.StatusOK, map[string]any{"offset": first, "end": len(l.topics[topic])}
}

// newest returns the newest value of each key on one page.
func newest(records [][]byte) map[string]any {
	byKey := map[string]map[string]any{}
	for offset, record := range records {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(byKey, key)
			continue
		}
		byKey[key] = map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset}
	}
	items := []map[string]any{}
	for _, item := range byKey {
		items = append(items, item)
	}
	return map[string]any{"items": items, "has_more": false, "end": len(records)}
}

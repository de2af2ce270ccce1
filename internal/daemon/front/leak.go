package front

import (
	"bytes"
	"encoding/json"
	"net/url"
	"regexp"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// keyPattern matches a key in the format that the command line creates.
var keyPattern = regexp.MustCompile(model.KeyPrefix + `[A-Z2-7]{26}`)

// leaksKey reports whether the query or body of a request, which are sent to a backend
// server, contains the caller's key or any other key in force. Keys belong only in the
// Authorization header, which is not sent to backend servers. A query that can't be
// decoded is reported as well.
func leaksKey(snap *model.Snapshot, callerKey, query string, body []byte) bool {
	if plain, err := url.QueryUnescape(query); err != nil || containsKey(snap, callerKey, []byte(plain)) {
		return true
	}
	return containsKey(snap, callerKey, body) || containsKey(snap, callerKey, decodeEscapes(body))
}

// containsKey reports whether text contains the caller's key or any key in force.
func containsKey(snap *model.Snapshot, callerKey string, text []byte) bool {
	if callerKey != "" && bytes.Contains(text, []byte(callerKey)) {
		return true
	}
	for _, key := range keyPattern.FindAll(text, -1) {
		if snap.KeyOrg(model.HashKey(string(key))) != nil {
			return true
		}
	}
	return false
}

// decodeEscapes returns a JSON body with its \u escapes decoded, or nil if it has none or
// is not valid JSON.
func decodeEscapes(body []byte) []byte {
	if !bytes.Contains(body, []byte(`\u`)) {
		return nil
	}
	var v any
	if json.Unmarshal(body, &v) != nil {
		return nil
	}
	plain, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return plain
}

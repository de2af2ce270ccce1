package pick

import "time"

// minNoticeTokens is the number of tokens that are not cached from which on a request is
// announced to the other hosts. Their next report tells them of smaller ones in time.
const minNoticeTokens = 1500

// Notice tells the other hosts of a region of a request with a long prefill at once, ahead of
// the next report: hosts would send several such requests to the same server meanwhile.
type Notice struct {
	Server string `cbor:"1,keyasint"`
	// Load is that of the request, and Parts are those of its prompt that the server
	// should have cached from now on.
	Load  Load   `cbor:"2,keyasint"`
	Parts []Part `cbor:"3,keyasint,omitempty"`
}

// Notice returns the notice of a request that is sent to a server, or false if it need not be
// announced.
func (c *Choice) Notice(req *Request) (Notice, bool) {
	if c.unread < minNoticeTokens {
		return Notice{}, false
	}
	return Notice{Server: c.ID, Load: c.load(), Parts: req.Parts}, true
}

// MergeNotice adds the request of a notice to the load that another host has reported. It
// counts until the next report of the host, which includes it.
func (t *Table) MergeNotice(host string, n Notice, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[n.Server]
	if _, known := t.reported[host]; !known || s == nil {
		return
	}
	l := s.peers[host]
	l.add(n.Load)
	s.peers[host] = l
	s.updateLateShare(&t.model, now)
	if len(n.Parts) > 0 && len(n.Parts) <= MaxParts {
		s.cache.put(n.Parts, t.cacheLimit(), now)
	}
}

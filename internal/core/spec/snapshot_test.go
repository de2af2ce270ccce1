package spec

import "testing"

// TestEmptyKey guards against requests with an empty key that run for an organisation, because a version lists an
// empty key: a list that should have been empty.
func TestEmptyKey(t *testing.T) {
	s := NewSnapshot(Config{RequiresKey: true, Orgs: []Org{{Name: "workshop", Keys: []string{"", "key"}}}})
	if o := s.OrgByKey(""); o != nil {
		t.Errorf("an empty key belongs to %s", o.Name)
	}
	if o := s.OrgByKey("key"); o == nil || o.Name != "workshop" {
		t.Errorf("the key belongs to %+v", o)
	}
}

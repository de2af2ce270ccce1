// Package heap measures the memory that tests bound.
package heap

import "runtime"

// InUse returns the bytes of live objects, after garbage collections.
func InUse() int64 {
	runtime.GC()
	runtime.GC() // frees what finalizers held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

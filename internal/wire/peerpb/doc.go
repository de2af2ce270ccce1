// Package peerpb holds the generated messages and the drpc service that
// daemons use among themselves. Regenerate with tools/generate.
package peerpb

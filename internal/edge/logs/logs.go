package logs

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of each message about requests, so many lines are kept per second, and of
// the rest one in every.
const (
	keepServed  = 2
	everyServed = 100
	keepFailed  = 40
	everyFailed = 20
)

// Logger is a logger whose volume is bounded.
type Logger struct {
	*zap.Logger
	// Served is for lines about requests that were served, Requests for
	// those that were not and for what happened on the way. Of each message
	// only some lines per second are kept.
	Served, Requests *zap.Logger

	w       *Writer
	sampled atomic.Int64
	told    atomic.Int64
}

// New returns a logger that writes JSON lines to w.
func New(w *Writer, host string, debug bool) *Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	level := zapcore.InfoLevel
	if debug {
		level = zapcore.DebugLevel
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.AddSync(w), level)
	l := &Logger{w: w}
	field := zap.Fields(zap.String("host", host))
	l.Logger = zap.New(core, field)
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			l.sampled.Add(1)
		}
	})
	l.Served = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, keepServed, everyServed, count), field)
	l.Requests = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, keepFailed, everyFailed, count), field)
	return l
}

// Summarize logs how many lines about requests were left out since the last
// call, if any.
func (l *Logger) Summarize() {
	n := l.sampled.Load()
	if left := n - l.told.Swap(n); left > 0 {
		l.Info("request lines left out", zap.Int64("lines", left))
	}
}

// Sampled returns the number of lines about requests that were left out.
func (l *Logger) Sampled() int64 { return l.sampled.Load() }

// Dropped returns the number of lines that the full buffer dropped.
func (l *Logger) Dropped() int64 { return l.w.Dropped() }

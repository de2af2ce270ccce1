package logs

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// keepFirst lines of each message are kept per second, and of the rest
	// one in keepEvery.
	keepFirst = 8
	keepEvery = 40
)

// Logger is a logger whose volume is bounded.
type Logger struct {
	*zap.Logger
	// Requests is for lines about single requests: of each message only some
	// per second are kept.
	Requests *zap.Logger

	w       *Writer
	sampled atomic.Int64
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
	l.Requests = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, keepFirst, keepEvery, count), field)
	return l
}

// Sampled returns the number of lines about requests that were left out.
func (l *Logger) Sampled() int64 { return l.sampled.Load() }

// Dropped returns the number of lines that the full buffer dropped.
func (l *Logger) Dropped() int64 { return l.w.Dropped() }

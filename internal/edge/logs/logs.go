package logs

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Log lines about requests are sampled: of each message, the first lines in every
// second are kept, and then one of every so many.
const (
	servedFirst = 2
	servedEvery = 100
	failedFirst = 40
	failedEvery = 20
)

// Logger is a structured logger that samples the lines about requests.
type Logger struct {
	*zap.Logger
	// Served logs requests that were served. Requests logs the others and
	// events such as failed attempts. Both are sampled, Served with lower limits.
	Served, Requests *zap.Logger

	w        *Writer
	sampled  atomic.Int64 // lines that sampling has left out
	reported atomic.Int64 // the part of sampled that Summarize has logged
}

// New returns a logger that writes JSON lines with the name of the host to w.
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
	l.Served = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, servedFirst, servedEvery, count), field)
	l.Requests = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, failedFirst, failedEvery, count), field)
	return l
}

// Summarize logs the number of lines that sampling has left out since the last call,
// if there are any.
func (l *Logger) Summarize() {
	n := l.sampled.Load()
	if omitted := n - l.reported.Swap(n); omitted > 0 {
		l.Info("request lines left out", zap.Int64("lines", omitted))
	}
}

// Sampled returns the number of lines that sampling has left out.
func (l *Logger) Sampled() int64 { return l.sampled.Load() }

// Dropped returns the number of lines that the Writer has dropped.
func (l *Logger) Dropped() int64 { return l.w.Dropped() }

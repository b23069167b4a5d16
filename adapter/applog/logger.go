// Package applog adapts a zerolog logger to the kratos log.Logger interface.
package applog

import (
	"fmt"

	"github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
)

// Logger is a kratos logger that writes to Out.
type Logger struct {
	Out zerolog.Logger
}

var _ log.Logger = (*Logger)(nil)

// levels maps kratos levels to zerolog levels.
var levels = map[log.Level]zerolog.Level{
	log.LevelDebug: zerolog.DebugLevel,
	log.LevelInfo:  zerolog.InfoLevel,
	log.LevelWarn:  zerolog.WarnLevel,
	log.LevelError: zerolog.ErrorLevel,
	log.LevelFatal: zerolog.FatalLevel,
}

// Log writes one line with the given keys and values.
func (l *Logger) Log(level log.Level, keyvals ...any) error {
	event := l.Out.WithLevel(levels[level])
	for i := 0; i+1 < len(keyvals); i += 2 {
		event = event.Interface(fmt.Sprint(keyvals[i]), keyvals[i+1])
	}
	event.Send()
	return nil
}

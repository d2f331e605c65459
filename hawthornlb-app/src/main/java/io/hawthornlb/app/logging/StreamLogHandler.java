package io.hawthornlb.app.logging;

import java.io.PrintStream;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Writes each event to a stream and flushes the stream. */
final class StreamLogHandler extends Handler {

  private final PrintStream stream;

  StreamLogHandler(PrintStream stream) {
    this.stream = stream;
    setFormatter(new LineFormatter());
  }

  @Override
  public void publish(LogRecord event) {
    if (isLoggable(event)) {
      stream.print(getFormatter().format(event));
      stream.flush();
    }
  }

  @Override
  public void flush() {
    stream.flush();
  }

  @Override
  public void close() {
    flush();
  }
}

package io.hawthornlb.app.logging;

import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Formats an event as {@code time LEVEL part: message} on one line.
 *
 * <p>Messages of this program already begin with the name of their part. Messages of libraries get
 * a prefix that is derived from the name of their logger. Control characters, such as line breaks,
 * are replaced by spaces, because messages may contain text from callers, who could otherwise forge
 * log events.
 */
public final class LineFormatter extends Formatter {

  private static final String PROGRAM_LOGGER_PREFIX = "io.hawthornlb.";
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSSX").withZone(ZoneOffset.UTC);
  private static final Pattern CONTROL = Pattern.compile("\\p{Cntrl}+");
  private static final int MAX_CAUSES = 5;

  @Override
  public String format(LogRecord event) {
    StringBuilder line = new StringBuilder();
    line.append(TIME.format(event.getInstant())).append(' ');
    line.append(level(event.getLevel())).append(' ');
    line.append(prefix(event.getLoggerName()));
    line.append(oneLine(formatMessage(event)));
    appendCauses(line, event.getThrown());
    return line.append('\n').toString();
  }

  private static String level(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return "ERROR";
    }
    return level.intValue() < Level.INFO.intValue() ? "DEBUG" : level.getName();
  }

  private static String prefix(@Nullable String logger) {
    if (logger == null || logger.startsWith(PROGRAM_LOGGER_PREFIX)) {
      return "";
    }
    String[] names = logger.split("\\.");
    boolean reversedDomain = names.length > 1 && names[0].length() <= 3;
    return "library " + (reversedDomain ? names[1] : names[0]) + ": ";
  }

  private static void appendCauses(StringBuilder line, @Nullable Throwable thrown) {
    @Nullable Throwable cause = thrown;
    for (int i = 0; i < MAX_CAUSES && cause != null; i++) {
      line.append(i == 0 ? " [" : "; caused by ").append(cause.getClass().getSimpleName());
      if (cause.getMessage() != null) {
        line.append(": ").append(oneLine(cause.getMessage()));
      }
      appendLocation(line, cause);
      cause = cause.getCause();
    }
    if (thrown != null) {
      line.append(']');
    }
  }

  private static void appendLocation(StringBuilder line, Throwable cause) {
    StackTraceElement[] frames = cause.getStackTrace();
    if (frames.length > 0) {
      line.append(" at ").append(frames[0].getFileName()).append(':');
      line.append(frames[0].getLineNumber());
    }
  }

  private static String oneLine(@Nullable String text) {
    return text == null ? "" : CONTROL.matcher(text).replaceAll(" ");
  }
}

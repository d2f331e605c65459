package io.hawthornlb.app.logging;

import io.hawthornlb.app.settings.LogLevel;
import java.io.PrintStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Configures logging: events of the program and of libraries are written to one stream. */
public final class LogSetup {

  private static final String MANAGER_PROPERTY = "java.util.logging.manager";
  private static final String SLF4J_VERBOSITY_PROPERTY = "slf4j.internal.verbosity";
  private static final String PROGRAM_LOGGER = "io.hawthornlb";

  private LogSetup() {}

  /**
   * Sets the system properties for logging. Must run before the first logger is created.
   *
   * <p>The JDK's log manager closes its handlers in its own shutdown hook. This hook runs
   * concurrently with the one that stops an entry instance, so events of the graceful stop would be
   * lost. {@link KeepingLogManager} keeps its handlers until the process ends.
   */
  public static void prepare() {
    System.setProperty(MANAGER_PROPERTY, KeepingLogManager.class.getName());
    // Libraries that log through SLF4J deliberately find no provider; ERROR hides the notice of it.
    System.setProperty(SLF4J_VERBOSITY_PROPERTY, "ERROR");
  }

  /**
   * Writes events of the program at the given level and above to a stream.
   *
   * <p>Libraries log at level warning and above, or at info and above if the given level is debug.
   */
  public static void configure(LogLevel level, PrintStream stream) {
    Logger root = LogManager.getLogManager().getLogger("");
    for (Handler previous : root.getHandlers()) {
      root.removeHandler(previous);
    }
    root.addHandler(new StreamLogHandler(stream));
    root.setLevel(level == LogLevel.DEBUG ? Level.INFO : Level.WARNING);
    ProgramLogger.INSTANCE.setLevel(level(level));
  }

  private static Level level(LogLevel level) {
    return switch (level) {
      case DEBUG -> Level.FINE;
      case INFO -> Level.INFO;
      case WARNING -> Level.WARNING;
      case ERROR -> Level.SEVERE;
    };
  }

  /** Holds the logger strongly, because its level is lost if the logger is garbage-collected. */
  private static final class ProgramLogger {

    private static final Logger INSTANCE = Logger.getLogger(PROGRAM_LOGGER);

    private ProgramLogger() {}
  }
}

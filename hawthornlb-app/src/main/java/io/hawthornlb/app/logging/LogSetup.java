package io.hawthornlb.app.logging;

import io.hawthornlb.app.settings.LogLevel;
import java.io.PrintStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Sends {@link System.Logger} and the loggers of libraries to one stream. */
public final class LogSetup {

  private static final String MANAGER_PROPERTY = "java.util.logging.manager";
  private static final String SLF4J_VERBOSITY_PROPERTY = "slf4j.internal.verbosity";
  private static final String OWN_LOGGER = "io.hawthornlb";

  private LogSetup() {}

  /**
   * Prepares the process; must run before the first logger is made.
   *
   * <p>The JDK's log manager closes its handlers in a shutdown hook of its own, which runs beside
   * the one that stops an entry: the events of a graceful stop would be lost. The manager set here
   * keeps its handlers to the end.
   */
  public static void prepare() {
    System.setProperty(MANAGER_PROPERTY, KeepingLogManager.class.getName());
    // Libraries that log by SLF4J find no provider, which is meant; the notice about it is noise.
    System.setProperty(SLF4J_VERBOSITY_PROPERTY, "ERROR");
  }

  /** Logs events of a level and above to a stream; libraries log warnings and above. */
  public static void configure(LogLevel level, PrintStream stream) {
    Logger root = LogManager.getLogManager().getLogger("");
    for (Handler former : root.getHandlers()) {
      root.removeHandler(former);
    }
    root.addHandler(new StreamLogHandler(stream));
    root.setLevel(level == LogLevel.DEBUG ? Level.INFO : Level.WARNING);
    OwnLogger.INSTANCE.setLevel(level(level));
  }

  private static Level level(LogLevel level) {
    return switch (level) {
      case DEBUG -> Level.FINE;
      case INFO -> Level.INFO;
      case WARNING -> Level.WARNING;
      case ERROR -> Level.SEVERE;
    };
  }

  /** Keeps the logger, whose level would be lost when it is collected as garbage. */
  private static final class OwnLogger {

    private static final Logger INSTANCE = Logger.getLogger(OWN_LOGGER);

    private OwnLogger() {}
  }
}

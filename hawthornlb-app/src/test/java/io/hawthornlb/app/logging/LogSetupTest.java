package io.hawthornlb.app.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.app.settings.LogLevel;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.logging.ConsoleHandler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogSetupTest {

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  @AfterEach
  void restoreLoggingToTheConsole() {
    LogSetup.configure(LogLevel.INFO, System.err);
  }

  @Test
  void appliesTheLevelToTheProgramOnly() {
    LogSetup.configure(LogLevel.INFO, new PrintStream(bytes, true));
    System.Logger program = System.getLogger("io.hawthornlb.test.Own");
    System.Logger library = System.getLogger("org.example.Library");

    program.log(System.Logger.Level.INFO, "test: {0} kept", "one");
    program.log(System.Logger.Level.DEBUG, "test: dropped");
    library.log(System.Logger.Level.INFO, "dropped too");
    library.log(System.Logger.Level.WARNING, "two kept");

    String[] lines = bytes.toString().split("\n");
    assertEquals(2, lines.length, bytes.toString());
    assertTrue(lines[0].endsWith(" INFO test: one kept"));
    assertTrue(lines[1].endsWith(" WARNING library example: two kept"));
  }

  // Guards against lost events at shutdown: the JDK's own shutdown hook closes the handlers while
  // the entry instance still finishes its requests, so the log lacks the "stopped" event that an
  // operator looks for.
  @Test
  void keepsHandlersWhileTheProcessShutsDown() {
    LogManager manager = new KeepingLogManager();
    Logger logger = Logger.getLogger("kept");
    manager.addLogger(logger);
    logger.addHandler(new StreamLogHandler(new PrintStream(bytes, true)));

    manager.reset();
    logger.log(Level.WARNING, "entry: stopped");

    assertTrue(bytes.toString().contains("entry: stopped"));
  }

  @Test
  void replacesTheHandlersOfTheJdk() {
    Logger root = LogManager.getLogManager().getLogger("");
    root.addHandler(new ConsoleHandler());

    LogSetup.configure(LogLevel.ERROR, new PrintStream(bytes, true));

    assertEquals(1, root.getHandlers().length);
  }
}

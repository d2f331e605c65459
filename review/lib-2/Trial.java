import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * One run of a case: its record, its temporary folder, its processes and its exit code.
 *
 * <p>Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 */
final class Trial {

  /** Time after which a run is ended, below the 120 s that a script may take. */
  private static final Duration LIMIT = Duration.ofSeconds(114);

  interface Body {

    /** Runs the case; returns whether the rule held. */
    boolean run(Trial trial) throws Exception;
  }

  private final long start = System.nanoTime();
  private final PrintWriter record;
  private final Path folder;
  private final List<AutoCloseable> open = new ArrayList<>();

  private Trial(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8), true);
    folder = Files.createTempDirectory("review2-");
  }

  /** Returns whether the disruption is to be brought about. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static void run(String recordFile, Body body) {
    int code = 2;
    Trial trial = null;
    try {
      trial = new Trial(Path.of(recordFile));
      Trial current = trial;
      Runtime.getRuntime().addShutdownHook(new Thread(current::closeAll));
      Thread watchdog =
          new Thread(
              () -> {
                sleepQuietly(LIMIT.toMillis());
                current.log("the run took too long");
                System.exit(2);
              });
      watchdog.setDaemon(true);
      watchdog.start();
      trial.log("disruption: " + (trouble() ? "yes" : "no"));
      code = body.run(trial) ? 0 : 1;
    } catch (Throwable e) {
      if (trial != null) {
        trial.log("could not run: " + e);
      }
      e.printStackTrace();
    }
    if (trial != null) {
      trial.log("exit code " + code);
    }
    System.exit(code);
  }

  /** Adds a line with the seconds since the start to the record. */
  synchronized void log(String line) {
    record.printf(Locale.ROOT, "%8.3f %s%n", seconds(), line);
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  Path folder() {
    return folder;
  }

  /** Registers what must be ended with the run. */
  synchronized <T extends AutoCloseable> T opened(T resource) {
    open.add(resource);
    return resource;
  }

  private void closeAll() {
    List<AutoCloseable> all;
    synchronized (this) {
      all = new ArrayList<>(open);
    }
    for (AutoCloseable each : all) {
      try {
        each.close();
      } catch (Exception e) {
        e.printStackTrace();
      }
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(Trial::delete);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void delete(Path file) {
    try {
      Files.delete(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static void sleep(long millis) throws InterruptedException {
    Thread.sleep(Math.max(0, millis));
  }

  private static void sleepQuietly(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sleeps until a number of seconds after the start of the run. */
  void sleepUntil(double seconds) throws InterruptedException {
    sleep((long) ((seconds - seconds()) * 1000));
  }
}

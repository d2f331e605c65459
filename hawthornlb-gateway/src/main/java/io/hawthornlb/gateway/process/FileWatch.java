package io.hawthornlb.gateway.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs an action when the content of a file changes.
 *
 * <p>A settings file may change without any signal. Its content is compared, since times of files
 * may be coarse. The file must be small.
 */
public final class FileWatch {

  /** Time between two looks at the file. */
  static final Duration INTERVAL = Duration.ofSeconds(2);

  private final Path file;
  private final ScheduledExecutorService executor;
  private final Runnable onChange;
  private byte[] known = new byte[0];

  /** Creates a watch that runs on an executor. */
  public FileWatch(Path file, ScheduledExecutorService executor, Runnable onChange) {
    this.file = file;
    this.executor = executor;
    this.onChange = onChange;
  }

  /** Starts to watch; the present content counts as known. */
  public void start() {
    known = content();
    schedule();
  }

  private void schedule() {
    executor.schedule(this::check, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void check() {
    byte[] current = content();
    if (!Arrays.equals(current, known)) {
      known = current;
      onChange.run();
    }
    schedule();
  }

  /** Returns the content; the known one while the file cannot be read. */
  private byte[] content() {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      // The file is being replaced; the next look finds it.
      return known;
    }
  }
}

package io.hawthornlb.gateway.loop;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Processor time of the threads of this process, as reported by Linux.
 *
 * <p>The times are read from files, because the management API of the runtime loads hundreds of
 * classes.
 */
public final class ThreadTimes {

  /**
   * Prefix of the names of event loop threads; short, because the kernel keeps 15 bytes of a name.
   */
  static final String LOOP_NAME = "loop";

  private static final Path TASKS = Path.of("/proc/self/task");

  /** Number of bytes that are read of a file; names have up to 16 bytes, times about 50. */
  private static final int MAX_BYTES = 128;

  private final Path tasks;

  /** Creates a reader for this process. */
  public ThreadTimes() {
    this(TASKS);
  }

  ThreadTimes(Path tasks) {
    this.tasks = tasks;
  }

  /**
   * Returns the processor time in microseconds by kind of thread; empty where the system does not
   * report it.
   */
  public Map<String, Long> read() {
    Map<String, Long> micros = new TreeMap<>();
    String[] ids = tasks.toFile().list();
    if (ids == null) {
      return micros;
    }
    for (String id : ids) {
      add(tasks.resolve(id), micros);
    }
    return micros;
  }

  private static void add(Path task, Map<String, Long> micros) {
    try {
      String name = readStart(task.resolve("comm"));
      String time = readStart(task.resolve("schedstat"));
      micros.merge(kindOf(name), nanos(time) / 1_000, Long::sum);
    } catch (IOException | NumberFormatException e) {
      // The thread has ended since the listing, or the system does not record such times.
      return;
    }
  }

  private static long nanos(String time) {
    int end = time.indexOf(' ');
    return Long.parseLong(end < 0 ? time : time.substring(0, end));
  }

  private static String kindOf(String name) {
    if (name.startsWith(LOOP_NAME)) {
      return "loop";
    }
    if (name.startsWith("C1 Comp") || name.startsWith("C2 Comp")) {
      return "compiler";
    }
    if (name.equals("java")) {
      return "starting";
    }
    return name.equals("event-log") ? "log" : "runtime";
  }

  private static String readStart(Path file) throws IOException {
    try (FileInputStream in = new FileInputStream(file.toFile())) {
      byte[] bytes = in.readNBytes(MAX_BYTES);
      return new String(bytes, StandardCharsets.ISO_8859_1).trim();
    }
  }
}

package io.hawthornlb.gateway.loop;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Processor time of the threads of this process, as Linux tells it.
 *
 * <p>Read from files, since the runtime's own means load hundreds of classes.
 */
public final class ThreadTimes {

  /** How names of threads of event loops begin; short, as the system keeps 15 bytes. */
  static final String LOOP_NAME = "loop";

  private static final Path TASKS = Path.of("/proc/self/task");

  /** Longest text that is read of a file; names have 16 bytes, times some 50. */
  private static final int MAX_BYTES = 128;

  private final Path tasks;

  /** Creates a reader for this process. */
  public ThreadTimes() {
    this(TASKS);
  }

  ThreadTimes(Path tasks) {
    this.tasks = tasks;
  }

  /** Returns the microseconds of each kind of thread; empty where the system does not tell. */
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
      String name = text(task.resolve("comm"));
      String time = text(task.resolve("schedstat"));
      micros.merge(part(name), nanos(time) / 1_000, Long::sum);
    } catch (IOException | NumberFormatException e) {
      // The thread has ended since it was listed, or the system keeps no such times.
      return;
    }
  }

  private static long nanos(String time) {
    int end = time.indexOf(' ');
    return Long.parseLong(end < 0 ? time : time.substring(0, end));
  }

  private static String part(String name) {
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

  private static String text(Path file) throws IOException {
    try (FileInputStream in = new FileInputStream(file.toFile())) {
      byte[] bytes = in.readNBytes(MAX_BYTES);
      return new String(bytes, StandardCharsets.ISO_8859_1).trim();
    }
  }
}

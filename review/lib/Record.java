package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file and to standard output, with relative times. */
public final class Record implements AutoCloseable {

  private static final double NANOS_PER_SECOND = 1e9;

  private final long start = System.nanoTime();
  private final PrintWriter out;

  public Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  public synchronized void line(String format, Object... arguments) {
    double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
    String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
    String line = String.format(Locale.ROOT, "%8.3f %s", seconds, text);
    out.println(line);
    out.flush();
    System.out.println(line);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}

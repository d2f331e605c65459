package io.hawthornlb.gateway.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ThreadTimesTest {

  @TempDir private Path tasks;

  @Test
  void sumsTheTimesOfThreadsOfAKind() throws IOException {
    thread("1", "java", "3000 10 2");
    thread("2", "loop-2-1", "5000 10 2");
    thread("3", "C1 Comp..hread0", "7000 10 2");
    thread("4", "VM Thread", "1000 10 2");
    thread("5", "Signal Dispatch", "2000 10 2");
    assertEquals(
        Map.of("starting", 3L, "loop", 5L, "compiler", 7L, "runtime", 3L),
        new ThreadTimes(tasks).read());
  }

  /**
   * Guards against a report that is lost because one thread ended between the listing and the read.
   */
  @Test
  void ignoresAThreadThatHasEnded() throws IOException {
    thread("1", "java", "3000 10 2");
    Files.createDirectory(tasks.resolve("2"));
    assertEquals(Map.of("starting", 3L), new ThreadTimes(tasks).read());
  }

  @Test
  void reportsNothingWhereTheSystemDoesNot() {
    assertEquals(Map.of(), new ThreadTimes(tasks.resolve("none")).read());
  }

  private void thread(String id, String name, String times) throws IOException {
    Path folder = Files.createDirectory(tasks.resolve(id));
    Files.writeString(folder.resolve("comm"), name + "\n");
    Files.writeString(folder.resolve("schedstat"), times + "\n");
  }
}

package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.VirtualLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileWatchTest {

  private final VirtualLoop time = new VirtualLoop();
  private final AtomicInteger changes = new AtomicInteger();

  @TempDir private Path folder;

  /** Guards against settings that take effect late, again and again, or never. */
  @Test
  void runsTheActionOnceForEachChange() throws IOException {
    Path file = Files.writeString(folder.resolve("settings.json"), "a");
    new FileWatch(file, time.loop(), changes::incrementAndGet).start();
    time.advance(FileWatch.INTERVAL.multipliedBy(3));
    assertEquals(0, changes.get());
    Files.writeString(file, "b");
    time.advance(FileWatch.INTERVAL.multipliedBy(3));
    assertEquals(1, changes.get());
    Files.delete(file);
    time.advance(FileWatch.INTERVAL.multipliedBy(2));
    assertEquals(1, changes.get(), "the file is being replaced");
    Files.writeString(file, "c");
    time.advance(FileWatch.INTERVAL);
    assertEquals(2, changes.get());
  }
}

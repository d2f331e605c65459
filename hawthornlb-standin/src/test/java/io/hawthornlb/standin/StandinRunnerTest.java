package io.hawthornlb.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.support.InvalidSettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StandinRunnerTest {

  private static final String IDENTITY =
      "identity: {id: e-1, service: brief-llm, dataCentre: ruwi}\n";

  @TempDir Path dir;

  private Path file(String text) throws IOException {
    return Files.writeString(dir.resolve("settings.yaml"), text);
  }

  @Test
  void startsEachKindFromItsSettingsFile() throws IOException {
    String engine = IDENTITY + "timing: {stepMicros: 100}\nmemory: {slots: 4}\n";
    assertHealthy("platform", "appendsPerSecond: 100\n");
    assertHealthy("engine", engine);
    assertHealthy("service", IDENTITY + "serviceMillis: 1\n");
  }

  private void assertHealthy(String kind, String settings) throws IOException {
    try (RunningStandin standin = StandinRunner.start(kind, file(settings))) {
      assertEquals(200, new TestCalls(standin).get("/health").statusCode());
    }
  }

  @Test
  void invalidSettingsAreRejectedWithTheirPosition() throws IOException {
    assertRejected("engine", IDENTITY + "slotz: 3\n", "slotz");
    assertRejected("engine", IDENTITY + "memory: {slots: many}\n", "settings.yaml:2");
    assertRejected("engine", IDENTITY + "memory: {slots: 0}\n", "slots must be above 0");
    assertRejected("engine", "models: []\n", "identity");
    assertRejected("service", IDENTITY + IDENTITY, "identity");
    assertRejected("platform", "", "settings.yaml");
    assertThrows(
        IllegalArgumentException.class, () -> StandinRunner.start("entry", file("port: 0\n")));
  }

  private void assertRejected(String kind, String settings, String expectedText)
      throws IOException {
    Path file = file(settings);
    InvalidSettingsException rejection =
        assertThrows(InvalidSettingsException.class, () -> StandinRunner.start(kind, file));
    assertTrue(rejection.getMessage().contains(expectedText), rejection.getMessage());
  }
}

package io.hawthornlb.standin.load;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.load.support.LoopbackAddresses;
import io.hawthornlb.standin.support.SettingsReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ExampleScenariosTest {

  private static final long MAX_MILLIS = 60_000;

  private static List<Path> files() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("..", "examples"))) {
      return files.filter(f -> f.getFileName().toString().startsWith("scenario-")).toList();
    }
  }

  @Test
  void eachScenarioIsValidAndShortAndUsesOnlyLoopbackAddresses() throws IOException {
    assertFalse(files().isEmpty());
    for (Path file : files()) {
      Scenario scenario = SettingsReader.read(file, Scenario.class);
      LoopbackAddresses.check(scenario);
      assertTrue(scenario.durationMillis() <= MAX_MILLIS, file.toString());
      assertTrue(
          scenario.actions().stream().allMatch(a -> a.atMillis() <= MAX_MILLIS), file.toString());
    }
  }
}

package io.hawthornlb.app.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class BoundCommandTest {

  private static final String DAY =
      """
      lengthMillis: 10000
      slots: 2
      demands:
        - name: streams
          workMillis: 400
          withinMillis: 400
          worth: 2
          phases: [{toMillis: 10000, perSecond: 4}]
      """;

  private final CommandLineFixture cli = new CommandLineFixture(Map.of());

  @TempDir private Path folder;

  @Test
  void printsTheBoundOfEachDemandAndOfAll() throws IOException {
    Path day = Files.writeString(folder.resolve("day.yaml"), DAY);
    assertEquals(ExitCode.OK, cli.run("bound", "--day", day.toString()));
    assertEquals(
        "streams: owed 80.0, at most 80.0; without the store 0.0, without slots 0.0\n"
            + "all: at most 1.000 of what is owed\n",
        cli.results());
    assertEquals(ExitCode.OK, cli.run("bound", "--day", day.toString(), "--json"));
    assertTrue(cli.results().endsWith("\"share\":1.0}\n"), cli.results());
  }

  @Test
  void rejectsAnInvalidDayFileAndNamesTheFault() throws IOException {
    Path day = Files.writeString(folder.resolve("day.yaml"), DAY + "slotz: 3\n");
    assertEquals(ExitCode.USAGE_ERROR, cli.run("bound", "--day", day.toString()));
    assertTrue(cli.errors().contains("day.yaml:"), cli.errors());
    assertTrue(cli.errors().contains("slotz"), cli.errors());
  }
}

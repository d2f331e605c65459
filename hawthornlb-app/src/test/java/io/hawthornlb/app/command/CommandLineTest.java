package io.hawthornlb.app.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CommandLineTest {

  private static final String SETTINGS =
      """
      instance: {id: entry-1, dataCentre: ghala}
      http: {address: 127.0.0.1:0}
      peers: {address: 127.0.0.1:0, tls: {mode: plain}}
      platform: {address: 127.0.0.1:9000}
      """;

  private final CommandLineFixture hawthornlb = new CommandLineFixture(Map.of());

  @TempDir private Path folder;

  private String file(String name, String content) throws IOException {
    return Files.writeString(folder.resolve(name), content).toString();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "entry",
        "settings",
        "settings check",
        "catalogue",
        "catalogue show",
        "catalogue check",
        "catalogue put",
        "catalogue history",
        "job",
        "job submit",
        "job status",
        "job results",
        "job cancel",
        "key hash",
        "explain",
        "standin",
        "load"
      })
  void printsHelpOfEveryCommand(String command) {
    String call = (command + " --help").strip();

    assertEquals(ExitCode.OK, hawthornlb.run(call.split(" ")));
    String usage = ("Usage: hawthornlb " + command).strip();
    assertTrue(hawthornlb.results().startsWith(usage), hawthornlb.results());
    assertEquals("", hawthornlb.errors());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "unknown",
        "entry",
        "entry --setings x",
        "catalogue",
        "catalogue list",
        "standin --settings x",
        "standin router --settings x",
        "job submit items.ndjson",
        "job status",
        "catalogue check a b"
      })
  void rejectsInvalidArguments(String call) {
    assertEquals(ExitCode.USAGE_ERROR, hawthornlb.run(call.split(" ")));
    assertEquals(List.of(), hawthornlb.launched());
  }

  @Test
  void rejectsACallWithoutCommand() {
    assertEquals(ExitCode.USAGE_ERROR, hawthornlb.run());
    assertTrue(hawthornlb.results().contains("Usage: hawthornlb"));
  }

  @Test
  void passesArgumentsToTheLaunchers() throws IOException {
    String settings = file("entry.yaml", SETTINGS);

    assertEquals(ExitCode.OK, hawthornlb.run("entry", "--settings", settings));
    assertEquals(ExitCode.OK, hawthornlb.run("standin", "engine", "--settings", "e.yaml"));
    assertEquals(ExitCode.OK, hawthornlb.run("load", "--scenario", "s.yaml", "--out", "o"));
    assertEquals(ExitCode.FAILED, hawthornlb.run("load", "--scenario", "wrong", "--out", "o"));

    assertEquals(
        List.of("entry entry-1", "standin engine e.yaml", "load s.yaml o", "load wrong o"),
        hawthornlb.launched());
  }

  @Test
  void checksSettingsWithoutStarting() throws IOException {
    String valid = file("right.yaml", SETTINGS);
    assertEquals(ExitCode.OK, hawthornlb.run("settings", "check", "--settings", valid));
    assertEquals(ExitCode.OK, hawthornlb.run("settings", "check", "--settings", valid, "--json"));
    assertEquals("{\"instance\":\"entry-1\",\"findings\":[]}\n", hawthornlb.results());

    String invalid = file("wrong.yaml", SETTINGS.replace("ghala", "Ghala") + "logs: {}\n");
    for (String command : List.of("settings check", "entry")) {
      String[] call = (command + " --settings " + invalid).split(" ");
      assertEquals(ExitCode.USAGE_ERROR, hawthornlb.run(call));
      String errors = hawthornlb.errors();
      assertTrue(errors.contains("wrong.yaml:1: instance.dataCentre: "), errors);
      assertTrue(errors.contains("wrong.yaml:5: logs: unknown key"), errors);
      assertTrue(errors.contains("2 findings"), errors);
    }
    assertEquals(
        ExitCode.USAGE_ERROR, hawthornlb.run("settings", "check", "--json", "--settings", invalid));
    assertTrue(hawthornlb.results().contains("\"line\":5,\"path\":\"logs\""));
    assertEquals("", hawthornlb.errors());
    assertEquals(List.of(), hawthornlb.launched());
  }

  @Test
  void hashesKeys() throws IOException {
    String key = file("key", "secret\n");

    assertEquals(ExitCode.OK, hawthornlb.run("key", "hash", "--key-file", key));
    assertEquals(
        "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n", hawthornlb.results());
  }
}

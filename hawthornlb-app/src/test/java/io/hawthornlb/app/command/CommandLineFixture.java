package io.hawthornlb.app.command;

import io.hawthornlb.app.settings.EntrySettings;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A command line whose launchers record their calls and start nothing. */
final class CommandLineFixture {

  private final ByteArrayOutputStream results = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final List<String> launched = new ArrayList<>();
  private final CommandLine commandLine;

  CommandLineFixture(Map<String, String> environment) {
    Launchers launchers = new Launchers(this::entry, this::standin, this::load);
    Output output = new Output(stream(results), stream(errors));
    this.commandLine = new CommandLine(launchers, environment, output);
  }

  private static PrintStream stream(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }

  private void entry(EntrySettings settings) {
    launched.add("entry " + settings.instance().id());
  }

  private void standin(String kind, Path settings) {
    launched.add("standin " + kind + " " + settings);
  }

  private boolean load(Path scenario, Path out) {
    launched.add("load " + scenario + " " + out);
    return !scenario.toString().contains("wrong");
  }

  ExitCode run(String... arguments) {
    results.reset();
    errors.reset();
    return commandLine.run(arguments);
  }

  String results() {
    return results.toString(StandardCharsets.UTF_8);
  }

  String errors() {
    return errors.toString(StandardCharsets.UTF_8);
  }

  List<String> launched() {
    return launched;
  }
}

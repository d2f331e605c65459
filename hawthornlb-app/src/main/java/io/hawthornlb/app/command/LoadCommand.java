package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.hawthornlb.standin.support.InvalidSettingsException;
import java.nio.file.Path;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Generates load on a fleet and checks every response. */
@Parameters(
    commandNames = "load",
    commandDescription = "Put load on a fleet, check every answer and write reports")
final class LoadCommand extends AbstractCommand {

  private final LoadLauncher launcher;

  @Parameter(names = "--scenario", required = true, description = "YAML file with the scenario")
  private @Nullable Path scenario;

  @Parameter(names = "--out", required = true, description = "Folder for the reports")
  private @Nullable Path out;

  LoadCommand(LoadLauncher launcher) {
    this.launcher = launcher;
  }

  @Override
  public void run(Output output) {
    boolean allCorrect;
    try {
      allCorrect = launcher.run(Objects.requireNonNull(scenario), Objects.requireNonNull(out));
    } catch (InvalidSettingsException e) {
      throw CommandFailedException.usageError(e.getMessage());
    }
    if (!allCorrect) {
      throw CommandFailedException.failed("some responses were wrong or missing; see " + out);
    }
    if (wantsJson()) {
      output.json(Output.object().put("out", String.valueOf(out)));
    } else {
      output.line("reports are in " + out);
    }
  }
}

package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.hawthornlb.app.logging.LogSetup;
import io.hawthornlb.app.settings.LogLevel;
import io.hawthornlb.standin.support.InvalidSettingsException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Runs a stand-in of another process, for tests and demonstrations. */
@Parameters(
    commandNames = "standin",
    commandDescription = "Run a stand-in of the platform, an engine or a plain service")
final class StandinCommand extends AbstractSettingsCommand {

  private static final Set<String> KINDS = Set.of("platform", "engine", "service");

  private final StandinLauncher launcher;

  @Parameter(description = "platform|engine|service", required = true)
  private List<String> kinds = new ArrayList<>();

  StandinCommand(StandinLauncher launcher) {
    this.launcher = launcher;
  }

  @Override
  public void run(Output output) {
    if (kinds.size() != 1 || !KINDS.contains(kinds.get(0))) {
      throw CommandFailedException.usageError("name one of platform, engine or service");
    }
    LogSetup.configure(LogLevel.INFO, System.err);
    try {
      launcher.run(kinds.get(0), settings());
    } catch (InvalidSettingsException e) {
      throw CommandFailedException.usageError(e.getMessage());
    }
  }
}

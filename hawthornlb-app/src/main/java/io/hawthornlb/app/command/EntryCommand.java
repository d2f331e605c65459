package io.hawthornlb.app.command;

import com.beust.jcommander.Parameters;
import io.hawthornlb.app.logging.LogSetup;
import io.hawthornlb.app.settings.EntrySettings;
import io.hawthornlb.app.settings.EntrySettingsReader;

/** Runs an entry instance in this process. */
@Parameters(
    commandNames = "entry",
    commandDescription = "Run an entry instance until it is told to end (SIGTERM)")
final class EntryCommand extends AbstractSettingsCommand {

  private final EntryLauncher launcher;

  EntryCommand(EntryLauncher launcher) {
    this.launcher = launcher;
  }

  @Override
  public void run(Output output) {
    EntrySettings settings =
        new EntrySettingsReader()
            .read(settings())
            .toEither()
            .getOrElseThrow(CommandFailedException::invalidInput);
    LogSetup.configure(settings.logLevel(), System.err);
    launcher.run(settings);
  }
}

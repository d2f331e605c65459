package io.hawthornlb.app.command;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hawthornlb.app.settings.EntrySettings;
import io.hawthornlb.app.settings.EntrySettingsReader;

/** Validates a settings file without starting an instance. */
@Parameters(
    commandNames = "check",
    commandDescription = "Check the settings of an entry and report all findings")
final class SettingsCheckCommand extends AbstractSettingsCommand {

  @Override
  public void run(Output output) {
    EntrySettings checked =
        new EntrySettingsReader()
            .read(settings())
            .toEither()
            .getOrElseThrow(CommandFailedException::invalidInput);
    if (wantsJson()) {
      ObjectNode document = Output.object();
      document.put("instance", checked.instance().id().value());
      document.putArray("findings");
      output.json(document);
    } else {
      output.line(settings() + ": no findings for " + checked.instance().id());
    }
  }
}

package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.micronaut.http.HttpRequest;
import java.util.Map;

/** Validates a catalogue file locally and, on request, by an entry instance. */
@Parameters(
    commandNames = "check",
    commandDescription = "Check a catalogue file and report all findings; nothing is changed")
final class CatalogueCheckCommand extends AbstractCatalogueFileCommand {

  @Parameter(
      names = "--by-entry",
      description = "Let the entry check it too, against the catalogue in force")
  private boolean byEntry;

  CatalogueCheckCommand(Map<String, String> environment) {
    super(environment);
  }

  @Override
  protected void run(EntryClient client, Output output) {
    String yaml = checkedText();
    if (byEntry) {
      client.exchange(HttpRequest.POST("/v1/catalogue/check", yaml).contentType(YAML));
    }
    if (wantsJson()) {
      output.json(Output.object().set("findings", Output.object().arrayNode()));
    } else {
      output.line(file() + ": no findings");
    }
  }
}

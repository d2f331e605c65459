package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import io.hawthornlb.app.settings.CatalogueReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Base of commands on a catalogue file; the file is validated before it is sent to the entry. */
abstract class AbstractCatalogueFileCommand extends AbstractEntryCommand {

  /** Media type of catalogues. */
  static final String YAML = "application/yaml";

  @Parameter(description = "FILE", required = true)
  private List<String> files = new ArrayList<>();

  AbstractCatalogueFileCommand(Map<String, String> environment) {
    super(environment);
  }

  /** Returns the path of the catalogue file. */
  protected Path file() {
    if (files.size() != 1) {
      throw CommandFailedException.usageError("name one catalogue file");
    }
    return Path.of(files.get(0));
  }

  /**
   * Returns the text of the file.
   *
   * @throws CommandFailedException if the file is not a valid catalogue
   */
  protected String checkedText() {
    String yaml = readText(file());
    new CatalogueReader()
        .read(file().toString(), yaml)
        .toEither()
        .getOrElseThrow(CommandFailedException::invalidInput);
    return yaml;
  }
}

package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import io.hawthornlb.app.settings.CatalogueReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A command on a catalogue file, which is checked before the entry sees it. */
abstract class AbstractCatalogueFileCommand extends AbstractEntryCommand {

  /** The media type of catalogues. */
  static final String YAML = "application/yaml";

  @Parameter(description = "FILE", required = true)
  private List<String> files = new ArrayList<>();

  AbstractCatalogueFileCommand(Map<String, String> environment) {
    super(environment);
  }

  /** Returns the catalogue file. */
  protected Path file() {
    if (files.size() != 1) {
      throw CommandFailedException.wrongCall("name one catalogue file");
    }
    return Path.of(files.get(0));
  }

  /** Returns the text of the file after a check of it. */
  protected String checkedText() {
    String yaml = readText(file());
    new CatalogueReader()
        .read(file().toString(), yaml)
        .toEither()
        .getOrElseThrow(CommandFailedException::wrongInput);
    return yaml;
  }
}

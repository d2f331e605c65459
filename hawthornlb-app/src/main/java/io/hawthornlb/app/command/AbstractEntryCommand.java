package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import io.hawthornlb.app.settings.TextFiles;
import java.net.URI;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Base of commands that call the HTTP API of an entry instance. */
abstract class AbstractEntryCommand extends AbstractCommand {

  /** Environment variable that holds the bearer key if no key file is given. */
  static final String KEY_VARIABLE = "HAWTHORNLB_KEY";

  private final Map<String, String> environment;

  @Parameter(names = "--entry", description = "Address of any entry")
  private URI entry = URI.create("http://127.0.0.1:8080");

  @Parameter(
      names = "--key-file",
      description = "File with the key; without it the variable " + KEY_VARIABLE + " counts")
  private @Nullable Path keyFile;

  AbstractEntryCommand(Map<String, String> environment) {
    this.environment = environment;
  }

  @Override
  public final void run(Output output) {
    try (EntryClient client = new EntryClient(entry, key())) {
      run(client, output);
    }
  }

  /** Runs the command with a client of the entry instance. */
  protected abstract void run(EntryClient client, Output output);

  private Optional<String> key() {
    if (keyFile == null) {
      return Optional.ofNullable(environment.get(KEY_VARIABLE)).map(String::strip);
    }
    String key = readText(keyFile).strip();
    return Optional.of(key);
  }

  /**
   * Returns the text of a file that was named on the command line.
   *
   * @throws CommandFailedException if the file cannot be read
   */
  protected static String readText(Path file) {
    return TextFiles.read(file).toEither().getOrElseThrow(CommandFailedException::invalidInput);
  }
}

package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.hawthornlb.app.settings.KeyHashes;
import io.hawthornlb.app.settings.TextFiles;
import java.nio.file.Path;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Prints the hash of a bearer key, as settings and catalogue files contain it. */
@Parameters(
    commandNames = "hash",
    commandDescription = "Write the hash of a key as it stands in settings and catalogue")
final class KeyHashCommand extends AbstractCommand {

  @Parameter(names = "--key-file", required = true, description = "File with the key")
  private @Nullable Path keyFile;

  @Override
  public void run(Output output) {
    String key =
        TextFiles.read(Objects.requireNonNull(keyFile))
            .toEither()
            .getOrElseThrow(CommandFailedException::invalidInput);
    String hash = KeyHashes.hash(key.strip());
    if (wantsJson()) {
      output.json(Output.object().put("hash", hash));
    } else {
      output.line(hash);
    }
  }
}

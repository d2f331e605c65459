package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Base of commands that read a settings file. */
abstract class AbstractSettingsCommand extends AbstractCommand {

  @Parameter(names = "--settings", required = true, description = "YAML file with the settings")
  private @Nullable Path settings;

  /** Returns the path of the settings file. */
  protected Path settings() {
    return Objects.requireNonNull(settings);
  }
}

package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** A command that reads a settings file. */
abstract class AbstractSettingsCommand extends AbstractCommand {

  @Parameter(names = "--settings", required = true, description = "YAML file with the settings")
  private @Nullable Path settings;

  /** Returns the settings file. */
  protected Path settings() {
    return Objects.requireNonNull(settings);
  }
}

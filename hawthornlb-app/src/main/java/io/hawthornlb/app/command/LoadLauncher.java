package io.hawthornlb.app.command;

import java.nio.file.Path;

/** Runs the load tool. */
@FunctionalInterface
public interface LoadLauncher {

  /** Runs a scenario, writes its reports, and returns whether every answer was right. */
  boolean run(Path scenario, Path out);
}

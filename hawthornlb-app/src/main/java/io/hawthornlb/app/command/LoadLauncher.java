package io.hawthornlb.app.command;

import java.nio.file.Path;

/** Starts the load tool for the command line. */
@FunctionalInterface
public interface LoadLauncher {

  /** Runs a scenario, writes its reports and returns whether every response was correct. */
  boolean run(Path scenario, Path out);
}

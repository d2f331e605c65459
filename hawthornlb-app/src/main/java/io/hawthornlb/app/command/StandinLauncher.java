package io.hawthornlb.app.command;

import java.nio.file.Path;

/** Starts a stand-in for the command line. */
@FunctionalInterface
public interface StandinLauncher {

  /** Runs a stand-in of the given kind until the process is told to terminate. */
  void run(String kind, Path settings);
}

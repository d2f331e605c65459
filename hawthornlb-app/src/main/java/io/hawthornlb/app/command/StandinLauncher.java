package io.hawthornlb.app.command;

import java.nio.file.Path;

/** Runs a stand-in. */
@FunctionalInterface
public interface StandinLauncher {

  /** Runs a stand-in of a kind until the process is told to end. */
  void run(String kind, Path settings);
}

package io.hawthornlb.app.command;

import io.hawthornlb.app.settings.EntrySettings;

/** Starts an entry instance for the command line. */
@FunctionalInterface
public interface EntryLauncher {

  /** Runs an instance until the process is told to terminate, then stops it gracefully. */
  void run(EntrySettings settings);
}

package io.hawthornlb.app.command;

import io.hawthornlb.app.settings.EntrySettings;

/** Runs an entry instance. */
@FunctionalInterface
public interface EntryLauncher {

  /** Runs an instance until the process is told to end, then stops it gracefully. */
  void run(EntrySettings settings);
}

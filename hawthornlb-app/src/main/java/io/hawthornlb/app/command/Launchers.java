package io.hawthornlb.app.command;

/**
 * What the command line starts.
 *
 * @param entry runs an entry instance
 * @param standin runs a stand-in
 * @param load runs the load tool
 */
public record Launchers(EntryLauncher entry, StandinLauncher standin, LoadLauncher load) {}

package io.hawthornlb.app.command;

/**
 * Functions by which commands start the other parts of the program.
 *
 * @param entry runs an entry instance
 * @param standin runs a stand-in
 * @param load runs the load tool
 */
public record Launchers(EntryLauncher entry, StandinLauncher standin, LoadLauncher load) {}

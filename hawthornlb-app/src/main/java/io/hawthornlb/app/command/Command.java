package io.hawthornlb.app.command;

/** One command of the program; its parameters are fields for JCommander. */
public interface Command {

  /** Returns whether the call asks for help instead. */
  boolean wantsHelp();

  /** Returns whether results and faults are written as JSON. */
  boolean wantsJson();

  /**
   * Does what was asked.
   *
   * @throws CommandFailedException if it did not
   */
  void run(Output output);
}

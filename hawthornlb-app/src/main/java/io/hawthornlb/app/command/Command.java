package io.hawthornlb.app.command;

/** A command of the program; JCommander sets its fields from the command-line parameters. */
public interface Command {

  /** Returns whether the user asks for help; the command is not run in that case. */
  boolean wantsHelp();

  /** Returns whether results and errors are written as JSON. */
  boolean wantsJson();

  /**
   * Runs the command.
   *
   * @throws CommandFailedException if the command fails or its input is invalid
   */
  void run(Output output);
}

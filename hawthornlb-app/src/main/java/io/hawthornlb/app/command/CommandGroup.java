package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;

/** The parameters of the program itself and of commands that only hold further commands. */
final class CommandGroup {

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show the commands")
  private boolean help;

  boolean wantsHelp() {
    return help;
  }
}

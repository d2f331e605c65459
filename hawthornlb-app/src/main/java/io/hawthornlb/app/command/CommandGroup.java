package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;

/** Parameters of the program itself and of commands that only group subcommands. */
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

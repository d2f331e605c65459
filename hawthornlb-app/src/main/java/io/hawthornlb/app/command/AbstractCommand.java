package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;

/** Base of all commands, with the parameters that they share. */
abstract class AbstractCommand implements Command {

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show what the command does and its parameters")
  private boolean help;

  @Parameter(names = "--json", description = "Write results and faults as JSON")
  private boolean json;

  @Override
  public boolean wantsHelp() {
    return help;
  }

  @Override
  public boolean wantsJson() {
    return json;
  }
}

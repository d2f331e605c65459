package io.hawthornlb.app.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.Map;

/** Parses the command-line arguments and runs the command that they name. */
public final class CommandLine {

  private static final System.Logger LOG = System.getLogger(CommandLine.class.getName());

  private static final int HELP_COLUMNS = 100;

  private final Launchers launchers;
  private final Map<String, String> environment;
  private final Output output;

  /**
   * Creates a command line.
   *
   * @param launchers the functions that start an entry instance, a stand-in or the load tool
   * @param environment the environment variables of the process
   * @param output the output for results and errors
   */
  public CommandLine(Launchers launchers, Map<String, String> environment, Output output) {
    this.launchers = launchers;
    this.environment = Map.copyOf(environment);
    this.output = output;
  }

  /** Runs the command and returns its exit code. */
  public ExitCode run(String... arguments) {
    JCommander root = CommandTree.create(launchers, environment);
    boolean asJson = Arrays.asList(arguments).contains("--json");
    try {
      root.parse(arguments);
    } catch (ParameterException e) {
      String hint = e.getMessage() + "; see " + commandPath(root) + " --help";
      output.failure(CommandFailedException.usageError(hint), asJson);
      return ExitCode.USAGE_ERROR;
    }
    JCommander parsed = parsedCommand(root);
    parsed.setProgramName(commandPath(root));
    Object target = parsed.getObjects().get(0);
    if (target instanceof Command command) {
      return command.wantsHelp() ? help(parsed) : run(command);
    }
    boolean wantsHelp = target instanceof CommandGroup group && group.wantsHelp();
    help(parsed);
    return wantsHelp ? ExitCode.OK : ExitCode.USAGE_ERROR;
  }

  private ExitCode run(Command command) {
    try {
      command.run(output);
      return ExitCode.OK;
    } catch (CommandFailedException e) {
      output.failure(e, command.wantsJson());
      return e.exitCode();
    } catch (RuntimeException e) {
      LOG.log(System.Logger.Level.ERROR, "command: unexpected error", e);
      return ExitCode.FAILED;
    }
  }

  private ExitCode help(JCommander command) {
    StringBuilder text = new StringBuilder();
    command.setColumnSize(HELP_COLUMNS);
    new ShortUsageFormatter(command).usage(text);
    output.text(text.toString());
    return ExitCode.OK;
  }

  /** Returns the innermost command that was parsed. */
  private static JCommander parsedCommand(JCommander root) {
    JCommander command = root;
    while (command.getParsedCommand() != null) {
      command = command.getCommands().get(command.getParsedCommand());
    }
    return command;
  }

  /** Returns the program name followed by the names of the commands that were parsed. */
  private static String commandPath(JCommander root) {
    StringBuilder path = new StringBuilder(CommandTree.PROGRAM);
    JCommander command = root;
    while (command.getParsedCommand() != null) {
      path.append(' ').append(command.getParsedCommand());
      command = command.getCommands().get(command.getParsedCommand());
    }
    return path.toString();
  }
}

package io.hawthornlb.app.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.Map;

/** Finds the command that the arguments name and runs it. */
public final class CommandLine {

  private static final System.Logger LOG = System.getLogger(CommandLine.class.getName());

  private static final int HELP_COLUMNS = 100;

  private final Launchers launchers;
  private final Map<String, String> environment;
  private final Output output;

  /**
   * Creates a command line.
   *
   * @param launchers what commands start
   * @param environment the variables of the process
   * @param output takes results and faults
   */
  public CommandLine(Launchers launchers, Map<String, String> environment, Output output) {
    this.launchers = launchers;
    this.environment = Map.copyOf(environment);
    this.output = output;
  }

  /** Runs a command and returns how it ended. */
  public ExitCode run(String... arguments) {
    JCommander root = CommandTree.create(launchers, environment);
    boolean asJson = Arrays.asList(arguments).contains("--json");
    try {
      root.parse(arguments);
    } catch (ParameterException e) {
      String hint = e.getMessage() + "; see " + path(root) + " --help";
      output.failure(CommandFailedException.wrongCall(hint), asJson);
      return ExitCode.WRONG_CALL;
    }
    JCommander named = named(root);
    named.setProgramName(path(root));
    Object target = named.getObjects().get(0);
    if (target instanceof Command command) {
      return command.wantsHelp() ? help(named) : run(command);
    }
    boolean wantsHelp = target instanceof CommandGroup group && group.wantsHelp();
    help(named);
    return wantsHelp ? ExitCode.OK : ExitCode.WRONG_CALL;
  }

  private ExitCode run(Command command) {
    try {
      command.run(output);
      return ExitCode.OK;
    } catch (CommandFailedException e) {
      output.failure(e, command.wantsJson());
      return e.exitCode();
    } catch (RuntimeException e) {
      LOG.log(System.Logger.Level.ERROR, "command: failed", e);
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

  /** Returns the innermost command that the arguments name. */
  private static JCommander named(JCommander root) {
    JCommander command = root;
    while (command.getParsedCommand() != null) {
      command = command.getCommands().get(command.getParsedCommand());
    }
    return command;
  }

  /** Returns the program and the names of commands as far as the arguments were understood. */
  private static String path(JCommander root) {
    StringBuilder path = new StringBuilder(CommandTree.PROGRAM);
    JCommander command = root;
    while (command.getParsedCommand() != null) {
      path.append(' ').append(command.getParsedCommand());
      command = command.getCommands().get(command.getParsedCommand());
    }
    return path.toString();
  }
}

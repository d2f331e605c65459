package io.hawthornlb.app.command;

import io.hawthornlb.core.model.Finding;
import java.util.List;

/** Thrown by a command that failed or was called with invalid input. */
public class CommandFailedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final transient List<Finding> findings;

  private CommandFailedException(ExitCode exitCode, String message, List<Finding> findings) {
    super(message);
    this.exitCode = exitCode;
    this.findings = List.copyOf(findings);
  }

  /** Returns an exception for a command that failed while it ran. */
  public static CommandFailedException failed(String message) {
    return new CommandFailedException(ExitCode.FAILED, message, List.of());
  }

  /** Returns an exception for invalid command-line arguments. */
  public static CommandFailedException usageError(String message) {
    return new CommandFailedException(ExitCode.USAGE_ERROR, message, List.of());
  }

  /** Returns an exception for an input, such as a file, that has faults. */
  public static CommandFailedException invalidInput(List<Finding> findings) {
    String message = findings.size() == 1 ? "1 finding" : findings.size() + " findings";
    return new CommandFailedException(ExitCode.USAGE_ERROR, message, findings);
  }

  /** Returns the exit code of the command. */
  public ExitCode exitCode() {
    return exitCode;
  }

  /** Returns the faults of the input; empty for other causes. */
  public List<Finding> findings() {
    return findings;
  }
}

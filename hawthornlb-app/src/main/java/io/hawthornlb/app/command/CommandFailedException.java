package io.hawthornlb.app.command;

import io.hawthornlb.core.model.Finding;
import java.util.List;

/** Thrown by commands that did not do what was asked. */
public class CommandFailedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final transient List<Finding> findings;

  private CommandFailedException(ExitCode exitCode, String message, List<Finding> findings) {
    super(message);
    this.exitCode = exitCode;
    this.findings = List.copyOf(findings);
  }

  /** Returns the exception of a command that failed. */
  public static CommandFailedException failed(String message) {
    return new CommandFailedException(ExitCode.FAILED, message, List.of());
  }

  /** Returns the exception of a wrong call. */
  public static CommandFailedException wrongCall(String message) {
    return new CommandFailedException(ExitCode.WRONG_CALL, message, List.of());
  }

  /** Returns the exception of an input with faults. */
  public static CommandFailedException wrongInput(List<Finding> findings) {
    String message = findings.size() == 1 ? "1 finding" : findings.size() + " findings";
    return new CommandFailedException(ExitCode.WRONG_CALL, message, findings);
  }

  /** Returns how the command ends. */
  public ExitCode exitCode() {
    return exitCode;
  }

  /** Returns the faults of an input; empty for other causes. */
  public List<Finding> findings() {
    return findings;
  }
}

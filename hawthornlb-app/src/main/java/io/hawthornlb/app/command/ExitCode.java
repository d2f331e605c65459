package io.hawthornlb.app.command;

/** Exit codes of the program. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The command failed; a retry may succeed. */
  FAILED(1),
  /** The arguments, the settings or an input file are invalid. */
  USAGE_ERROR(2);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit status of the process. */
  public int code() {
    return code;
  }
}

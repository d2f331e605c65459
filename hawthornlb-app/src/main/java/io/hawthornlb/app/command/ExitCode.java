package io.hawthornlb.app.command;

/** How a command ended. */
public enum ExitCode {
  /** It did what was asked. */
  OK(0),
  /** It failed; calling it again may help. */
  FAILED(1),
  /** The call, the settings or a file given to it are wrong. */
  WRONG_CALL(2);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the number for the operating system. */
  public int code() {
    return code;
  }
}

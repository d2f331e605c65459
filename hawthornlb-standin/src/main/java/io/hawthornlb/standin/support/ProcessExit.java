package io.hawthornlb.standin.support;

/** Ends this process as a crash does. */
public final class ProcessExit {

  /** The exit code of a process that a request has crashed. */
  public static final int CRASHED = 70;

  private ProcessExit() {}

  /** Ends the process at once, without the hooks of a clean stop. */
  public static void crash() {
    Runtime.getRuntime().halt(CRASHED);
  }
}

package io.hawthornlb.standin.support;

/** Halts this process to emulate a crash. */
public final class ProcessExit {

  /** The exit code of a process that a crash fault has halted. */
  public static final int CRASH_EXIT_CODE = 70;

  private ProcessExit() {}

  /** Halts the process at once, without running shutdown hooks. */
  public static void crash() {
    Runtime.getRuntime().halt(CRASH_EXIT_CODE);
  }
}

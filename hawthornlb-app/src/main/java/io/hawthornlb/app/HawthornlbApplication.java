package io.hawthornlb.app;

/** Starts the program. */
public final class HawthornlbApplication {

  private HawthornlbApplication() {}

  /** Runs the command that the arguments name and exits with its code. */
  public static void main(String[] arguments) {
    System.exit(2);
  }
}

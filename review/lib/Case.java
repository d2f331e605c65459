package review;

import java.nio.file.Path;

/** Plays a case, and ends the process with its result. */
public final class Case {

  /** The rule held. */
  public static final int HELD = 0;

  /** The case could not run. */
  public static final int NOT_RUN = 2;

  /**
   * The rule was broken. The scripts turn this code into 1, which the runtime itself uses when a
   * program cannot start or ends by an exception.
   */
  public static final int BROKEN = 10;

  /** What a case does; returns one of the results. */
  public interface Play {

    int play(Record record) throws Exception;
  }

  private Case() {}

  /** Plays a case that writes its record into a folder below {@code review}. */
  public static void run(String folder, Play play) {
    int result = NOT_RUN;
    try (Record record = new Record(Path.of("review", folder, "record.txt"))) {
      try {
        result = play.play(record);
      } catch (Exception e) {
        record.line("the case could not run: " + e);
      }
      record.line("result: %s", result == HELD ? "held" : result == BROKEN ? "broken" : "not run");
    } catch (Exception e) {
      System.err.println("The record cannot be written: " + e);
    }
    System.exit(result);
  }
}

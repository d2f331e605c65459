package io.hawthornlb.gateway.job;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a holder's copy of its partition may lack the end of a job. Performs no I/O.
 *
 * <p>A holder learns of an end by its read of the log alone, and the process that acknowledges an
 * end does not ask the holder. A read that goes silent may take longer to fail than an acknowledged
 * end may take to be in force. A copy is therefore too old if the store has answered another call
 * of this process since, and no read has reached the end of the log for too long. While the store
 * answers nothing, this process is cut off, and goes on with what it knows.
 */
final class LogRecency {

  /**
   * Longest time without a read that reached the end of the log. Waiting reads end earlier. With
   * the time between two joins, whose answers show the lag, it stays within the three seconds in
   * which an end has to be in force.
   */
  static final Duration MAX_LAG = Duration.ofMillis(2_300);

  private Instant lastRead;
  private Instant lastAnswer;

  /**
   * Creates the recency of a copy.
   *
   * @param read when a read reached the end of the log
   */
  LogRecency(Instant read) {
    lastRead = read;
    lastAnswer = read;
  }

  /** Takes note that a read has reached the end of the log. */
  void onRead(Instant now) {
    lastRead = now;
  }

  /** Takes note that the store has answered another call. */
  void onAnswer(Instant now) {
    lastAnswer = now;
  }

  /** Returns whether the copy may lack an end that was acknowledged. */
  boolean tooOld() {
    return lastAnswer.isAfter(lastRead.plus(MAX_LAG));
  }

  /** Returns how long before the last answer of the store the last read reached the end. */
  Duration lag() {
    return Duration.between(lastRead, lastAnswer);
  }
}

package io.hawthornlb.standin.report;

import java.time.Duration;
import java.util.Optional;

/**
 * What came of one request.
 *
 * @param kind how it ended
 * @param reason the cause in a word or two; blank when answered
 * @param run the {@code run} member of a refusal, or {@code unsaid}
 * @param retryAfter when a refusal tells to come back
 */
public record Outcome(Kind kind, String reason, String run, Optional<Duration> retryAfter) {

  /** The value of {@link #run} when nobody said whether the request ran. */
  public static final String UNSAID = "unsaid";

  /** The value of {@link #run} of a request that no endpoint has seen. */
  public static final String NOT_RUN = "not-run";

  /** How a request ended. */
  public enum Kind {
    /** With the whole and right answer. */
    ANSWERED,
    /** With a refusal. */
    REFUSED,
    /** Without an answer. */
    FAILED,
    /** With an answer that began and did not end, as the caller can tell. */
    CUT,
    /** With an answer that looks whole and is wrong. */
    WRONG
  }

  /** Returns the outcome of a request that was answered. */
  public static Outcome answered() {
    return new Outcome(Kind.ANSWERED, "", UNSAID, Optional.empty());
  }

  /** Returns the outcome of a request that got no answer. */
  public static Outcome failed(String reason) {
    return new Outcome(Kind.FAILED, reason, UNSAID, Optional.empty());
  }

  /** Returns the outcome of a request that no entry took, as none could be connected to. */
  public static Outcome unreachable() {
    return new Outcome(Kind.FAILED, "unreachable", NOT_RUN, Optional.empty());
  }

  /** Returns the outcome of a request whose answer did not end. */
  public static Outcome cut(String reason) {
    return new Outcome(Kind.CUT, reason, UNSAID, Optional.empty());
  }

  /** Returns the outcome of a request whose answer is wrong. */
  public static Outcome wrong(String reason) {
    return new Outcome(Kind.WRONG, reason, UNSAID, Optional.empty());
  }

  /** Returns the outcome of a request that was refused. */
  public static Outcome refused(String reason, String run, Optional<Duration> retryAfter) {
    return new Outcome(Kind.REFUSED, reason, run, retryAfter);
  }

  /** Returns whether sending again can help. */
  public boolean resendable() {
    return kind == Kind.FAILED || kind == Kind.CUT || retryAfter.isPresent();
  }
}

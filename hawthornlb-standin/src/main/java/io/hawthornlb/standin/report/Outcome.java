package io.hawthornlb.standin.report;

import java.time.Duration;
import java.util.Optional;

/**
 * The outcome of one request, or of one attempt to send it.
 *
 * @param kind the kind of outcome
 * @param reason the cause in one or two words; blank if the request was answered
 * @param run the {@code run} member of the problem document of a refusal, which says whether the
 *     request ran; {@code unsaid} if the refusal has none
 * @param retryAfter the delay after which a refusal allows a retry; empty if it names none
 */
public record Outcome(Kind kind, String reason, String run, Optional<Duration> retryAfter) {

  /** The value of {@link #run} if it is unknown whether the request ran. */
  public static final String UNSAID = "unsaid";

  /** The value of {@link #run} of a request that reached no endpoint. */
  public static final String NOT_RUN = "not-run";

  /** The kind of outcome of a request. */
  public enum Kind {
    /** The caller received the complete and correct answer. */
    ANSWERED,
    /** The entry instance refused the request. */
    REFUSED,
    /** The caller received no answer. */
    FAILED,
    /** The answer began but didn't end, and the caller can detect this. */
    CUT,
    /** The answer looks complete but is wrong. */
    WRONG
  }

  /** Returns the outcome of a request with a complete and correct answer. */
  public static Outcome answered() {
    return new Outcome(Kind.ANSWERED, "", UNSAID, Optional.empty());
  }

  /** Returns the outcome of a request that got no answer. */
  public static Outcome failed(String reason) {
    return new Outcome(Kind.FAILED, reason, UNSAID, Optional.empty());
  }

  /** Returns the outcome of a request for which no entry instance accepted a connection. */
  public static Outcome unreachable() {
    return new Outcome(Kind.FAILED, "unreachable", NOT_RUN, Optional.empty());
  }

  /** Returns the outcome of a request whose answer began but didn't end. */
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

  /** Returns whether a retry can succeed: after a failure, a cut answer or a retry delay. */
  public boolean resendable() {
    return kind == Kind.FAILED || kind == Kind.CUT || retryAfter.isPresent();
  }
}

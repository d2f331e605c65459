package io.hawthornlb.gateway.slot;

import java.time.Duration;

/**
 * Why a coordinator refused a request, reported to the gateway of its caller, which counts and logs
 * it.
 *
 * @param size class of the request by its estimated work
 * @param workAhead estimated work of the waiting requests that would have been served before it
 */
public record RefusalReason(RefusalCause cause, SizeClass size, Duration workAhead) {

  /** The reason is not known. */
  public static final RefusalReason UNKNOWN =
      new RefusalReason(RefusalCause.UNKNOWN, SizeClass.MEDIUM, Duration.ZERO);

  /** No endpoint of the version of a stream is listed. */
  public static final RefusalReason VERSION_GONE =
      new RefusalReason(RefusalCause.VERSION_GONE, SizeClass.MEDIUM, Duration.ZERO);

  /** Returns whether the coordinator stated the reason. */
  public boolean isKnown() {
    return cause != RefusalCause.UNKNOWN;
  }
}

package io.hawthornlb.gateway.wire;

/**
 * Load that an endpoint reported in a response.
 *
 * @param running requests that are running at the endpoint
 * @param waiting requests that are waiting at the endpoint
 * @param pacePercent how long work takes at the endpoint at this moment, compared with its usual
 *     time; 100 as usual, 200 twice as long; {@link #UNKNOWN_PACE} if not reported
 */
public record ReportedLoad(int running, int waiting, int pacePercent) {

  /** The endpoint did not report its pace. */
  public static final int UNKNOWN_PACE = 0;

  /** Smallest pace that is accepted, in percent; a smaller one counts as not reported. */
  public static final int MIN_PACE = 10;

  /** Largest pace that is accepted, in percent; a larger one counts as not reported. */
  public static final int MAX_PACE = 10_000;

  /** Replaces a pace that is out of range by {@link #UNKNOWN_PACE}. */
  public ReportedLoad {
    pacePercent = pacePercent < MIN_PACE || pacePercent > MAX_PACE ? UNKNOWN_PACE : pacePercent;
  }

  /** Creates the load of an endpoint that does not report its pace. */
  public ReportedLoad(int running, int waiting) {
    this(running, waiting, UNKNOWN_PACE);
  }

  /** Returns whether the endpoint reported its pace. */
  public boolean hasPace() {
    return pacePercent != UNKNOWN_PACE;
  }
}

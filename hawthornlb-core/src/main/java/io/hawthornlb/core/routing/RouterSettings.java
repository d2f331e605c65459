package io.hawthornlb.core.routing;

import java.util.EnumSet;
import java.util.Set;

/**
 * Cost terms and weights of a cost router.
 *
 * @param terms the cost terms in use
 * @param distanceMillis cost of leaving the data centre of the caller
 * @param serviceMillis typical time of a request at an endpoint
 * @param crowdingShare fraction of the typical time by which a full endpoint is slower than an idle
 *     one
 * @param prefillMillisPerToken time to process one prompt token that is not cached
 * @param failureMillis cost of one recent failure
 * @param doubtMillis cost of a remote data centre after an attempt of the same request has failed
 *     in a remote one
 * @param defaultSlots number of slots assumed for an endpoint that has not reported its load
 * @param scanAtMost maximum number of endpoints of a service for which the router compares all of
 *     them
 * @param samples number of random endpoints that the router draws from larger services
 */
public record RouterSettings(
    Set<RouterTerm> terms,
    double distanceMillis,
    double serviceMillis,
    double crowdingShare,
    double prefillMillisPerToken,
    double failureMillis,
    double remoteFailureMillis,
    int defaultSlots,
    int scanAtMost,
    int samples) {

  /** Copies the set of terms. */
  public RouterSettings {
    terms = Set.copyOf(terms);
  }

  /** Returns a builder with all terms and the default weights. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of {@link RouterSettings}. */
  public static final class Builder {

    private final Set<RouterTerm> terms = EnumSet.allOf(RouterTerm.class);
    private double distanceMillis = 10;
    private double serviceMillis = 2_000;
    private double crowdingShare = 0.2;
    private double prefillMillisPerToken = 0.1;
    private double failureMillis = 500;
    private double remoteFailureMillis = 2_000;

    private Builder() {}

    /** Removes a cost term. */
    public Builder without(RouterTerm term) {
      terms.remove(term);
      return this;
    }

    /** Sets the cost of another data centre; 10 ms by default. */
    public Builder distanceMillis(double value) {
      this.distanceMillis = value;
      return this;
    }

    /** Sets the typical time of a request; 2 seconds by default. */
    public Builder serviceMillis(double value) {
      this.serviceMillis = value;
      return this;
    }

    /** Sets the fraction by which a full endpoint is slower; a fifth by default. */
    public Builder crowdingShare(double value) {
      this.crowdingShare = value;
      return this;
    }

    /** Sets the time to process a prompt token; 0.1 ms by default. */
    public Builder prefillMillisPerToken(double value) {
      this.prefillMillisPerToken = value;
      return this;
    }

    /** Sets the cost of a recent failure; 500 ms by default. */
    public Builder failureMillis(double value) {
      this.failureMillis = value;
      return this;
    }

    /**
     * Sets the cost of a remote data centre after a failure in a remote one; 2 seconds by default.
     */
    public Builder remoteFailureMillis(double value) {
      this.remoteFailureMillis = value;
      return this;
    }

    /** Returns the settings. */
    public RouterSettings build() {
      return new RouterSettings(
          terms,
          distanceMillis,
          serviceMillis,
          crowdingShare,
          prefillMillisPerToken,
          failureMillis,
          remoteFailureMillis,
          16,
          16,
          6);
    }
  }
}

package io.hawthornlb.core.routing;

import java.util.EnumSet;
import java.util.Set;

/**
 * Terms and weights of a cost router.
 *
 * @param terms the terms in use
 * @param distanceMillis cost of leaving the data centre of the caller
 * @param serviceMillis typical time of a request at an endpoint
 * @param crowdingShare part of that time by which a full endpoint is slower than an idle one
 * @param prefillMillisPerToken time to read one prompt token that is not cached
 * @param failureMillis cost of one recent failure
 * @param doubtMillis cost of another data centre once this request has failed in one
 * @param defaultSlots slots of an endpoint that has not reported
 * @param scanAtMost services with at most so many endpoints are looked at whole
 * @param samples endpoints that are drawn from larger ones
 */
public record RouterSettings(
    Set<RouterTerm> terms,
    double distanceMillis,
    double serviceMillis,
    double crowdingShare,
    double prefillMillisPerToken,
    double failureMillis,
    double doubtMillis,
    int defaultSlots,
    int scanAtMost,
    int samples) {

  /** Copies the terms. */
  public RouterSettings {
    terms = Set.copyOf(terms);
  }

  /** Returns a builder with all terms and the default weights. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values of {@link RouterSettings}. */
  public static final class Builder {

    private final Set<RouterTerm> terms = EnumSet.allOf(RouterTerm.class);
    private double distanceMillis = 10;
    private double serviceMillis = 2_000;
    private double crowdingShare = 0.2;
    private double prefillMillisPerToken = 0.1;
    private double failureMillis = 500;
    private double doubtMillis = 2_000;

    private Builder() {}

    /** Takes a term out. */
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

    /** Sets by how much a full endpoint is slower; a fifth by default. */
    public Builder crowdingShare(double value) {
      this.crowdingShare = value;
      return this;
    }

    /** Sets the time to read a prompt token; 0.1 ms by default. */
    public Builder prefillMillisPerToken(double value) {
      this.prefillMillisPerToken = value;
      return this;
    }

    /** Sets the cost of a recent failure; 500 ms by default. */
    public Builder failureMillis(double value) {
      this.failureMillis = value;
      return this;
    }

    /** Sets the cost of doubt about other data centres; 2 seconds by default. */
    public Builder doubtMillis(double value) {
      this.doubtMillis = value;
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
          doubtMillis,
          16,
          16,
          6);
    }
  }
}

package io.hawthornlb.standin.fault;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import org.jspecify.annotations.Nullable;

/**
 * The body of {@code POST /standin/faults}.
 *
 * @param kind the wire name of the {@link FaultKind}
 * @param forMillis the duration of the fault in milliseconds; with 0, the fault lasts until it is
 *     deleted
 * @param value the delay in milliseconds of {@code slow} and {@code lag-reports}
 * @param match the text that the method and path, or for {@code crash-on} and {@code crash-writing}
 *     the body, must contain; an empty text matches all requests
 */
@JsonDeserialize(builder = FaultOrder.Builder.class)
public record FaultOrder(String kind, long forMillis, long value, String match) {

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link FaultOrder} instances. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private String kind = "";
    private long forMillis;
    private long value;
    private String match = "";

    private Builder() {}

    /** Sets the wire name of the kind; required. */
    public Builder kind(String name) {
      kind = name;
      return this;
    }

    /** Sets the duration in milliseconds; 0 by default, which lasts until the fault is deleted. */
    public Builder forMillis(long millis) {
      forMillis = millis;
      return this;
    }

    /** Sets the delay in milliseconds; 0 by default. */
    public Builder value(long millis) {
      value = millis;
      return this;
    }

    /** Sets the text that a request must contain; empty by default, which matches all requests. */
    public Builder match(@Nullable String text) {
      match = text == null ? "" : text;
      return this;
    }

    /** Returns the order. */
    public FaultOrder build() {
      return new FaultOrder(kind, forMillis, value, match);
    }
  }
}

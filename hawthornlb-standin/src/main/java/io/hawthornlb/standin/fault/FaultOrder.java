package io.hawthornlb.standin.fault;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import org.jspecify.annotations.Nullable;

/**
 * The body of {@code POST /standin/faults}.
 *
 * @param kind the wire name of the kind
 * @param forMillis how long the fault lasts; 0 means until it is deleted
 * @param value the milliseconds of {@code slow} and {@code lag-reports}
 * @param match text that the method and path, or for {@code crash-on} the body, must contain
 */
@JsonDeserialize(builder = FaultOrder.Builder.class)
public record FaultOrder(String kind, long forMillis, long value, String match) {

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
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

    /** Sets how long the fault lasts; 0 by default, until it is deleted. */
    public Builder forMillis(long millis) {
      forMillis = millis;
      return this;
    }

    /** Sets the milliseconds; 0 by default. */
    public Builder value(long millis) {
      value = millis;
      return this;
    }

    /** Sets the text that a request must contain; blank by default, which hits all. */
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

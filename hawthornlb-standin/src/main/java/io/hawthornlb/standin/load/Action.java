package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.fault.FaultOrder;
import io.hawthornlb.standin.support.SettingsChecks;
import org.jspecify.annotations.Nullable;

/**
 * A fault that is switched on or off while the load runs.
 *
 * @param atMillis when it happens
 * @param address the stand-in as {@code host:port}
 * @param fault the fault to switch on; absent ends all faults
 */
@JsonDeserialize(builder = Action.Builder.class)
public record Action(long atMillis, String address, @Nullable FaultOrder fault) {

  /** Checks the values. */
  public Action {
    SettingsChecks.notNegative(atMillis, "atMillis");
    SettingsChecks.hasText(address, "address");
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long atMillis;
    private String address = "";
    private @Nullable FaultOrder fault;

    private Builder() {}

    /** Sets when it happens; 0 by default. */
    public Builder atMillis(long value) {
      atMillis = value;
      return this;
    }

    /** Sets the stand-in as {@code host:port}; blank by default. */
    public Builder address(String value) {
      address = value;
      return this;
    }

    /** Sets the fault to switch on; none by default. */
    public Builder fault(@Nullable FaultOrder value) {
      fault = value;
      return this;
    }

    /** Returns the checked values. */
    public Action build() {
      return new Action(atMillis, address, fault);
    }
  }
}

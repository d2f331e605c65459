package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.fault.FaultOrder;
import io.hawthornlb.standin.support.SettingsChecks;
import org.jspecify.annotations.Nullable;

/**
 * Switches a fault of a stand-in on or off while the load runs.
 *
 * @param atMillis the time of the action, in milliseconds from the start of the run
 * @param address the address of the stand-in as {@code host:port}
 * @param fault the fault to switch on; if null, all faults of the stand-in are switched off
 */
@JsonDeserialize(builder = Action.Builder.class)
public record Action(long atMillis, String address, @Nullable FaultOrder fault) {

  /** Validates the components. */
  public Action {
    SettingsChecks.notNegative(atMillis, "atMillis");
    SettingsChecks.hasText(address, "address");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link Action}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long atMillis;
    private String address = "";
    private @Nullable FaultOrder fault;

    private Builder() {}

    /** Sets the time of the action; 0 by default. */
    public Builder atMillis(long value) {
      atMillis = value;
      return this;
    }

    /** Sets the address of the stand-in as {@code host:port}; required. */
    public Builder address(String value) {
      address = value;
      return this;
    }

    /** Sets the fault to switch on; null, which ends all faults, by default. */
    public Builder fault(@Nullable FaultOrder value) {
      fault = value;
      return this;
    }

    /** Returns a validated action. */
    public Action build() {
      return new Action(atMillis, address, fault);
    }
  }
}

package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.fault.FaultOrder;
import io.hawthornlb.standin.support.SettingsChecks;
import org.jspecify.annotations.Nullable;

/**
 * Switches a fault of a stand-in on or off, or edits the catalogue, while the load runs.
 *
 * @param atMillis the time of the action, in milliseconds from the start of the run
 * @param address the address of the stand-in, or for an edit of an entry instance, as {@code
 *     host:port}
 * @param fault the fault to switch on; if null and there is no edit, all faults of the stand-in are
 *     switched off
 * @param catalogue the edit of the catalogue; null if the action is about faults
 */
@JsonDeserialize(builder = Action.Builder.class)
public record Action(
    long atMillis, String address, @Nullable FaultOrder fault, @Nullable CatalogueEdit catalogue) {

  /** Validates the components. */
  public Action {
    SettingsChecks.notNegative(atMillis, "atMillis");
    SettingsChecks.hasText(address, "address");
    SettingsChecks.isTrue(
        fault == null || catalogue == null, "an action has either a fault or a catalogue");
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
    private @Nullable CatalogueEdit catalogue;

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

    /** Sets the edit of the catalogue; null, which edits nothing, by default. */
    public Builder catalogue(@Nullable CatalogueEdit value) {
      catalogue = value;
      return this;
    }

    /** Returns a validated action. */
    public Action build() {
      return new Action(atMillis, address, fault, catalogue);
    }
  }
}

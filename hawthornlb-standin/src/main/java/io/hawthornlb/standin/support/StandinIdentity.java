package io.hawthornlb.standin.support;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;

/**
 * The identity of an endpoint stand-in and the platform to which it announces itself.
 *
 * @param id the id in the instance list
 * @param service the service that the endpoint belongs to
 * @param dataCentre the data centre that the endpoint announces as its own
 * @param port the port on 127.0.0.1, or 0 for any free port
 * @param platform the address of the platform as {@code host:port}; if blank, the endpoint does not
 *     announce itself
 * @param announceMillis the time in milliseconds between two announcements
 * @param eventLoopThreads the number of threads that serve connections
 */
@JsonDeserialize(builder = StandinIdentity.Builder.class)
public record StandinIdentity(
    String id,
    String service,
    String dataCentre,
    int port,
    String platform,
    long announceMillis,
    int eventLoopThreads) {

  /** Validates the components. */
  public StandinIdentity {
    SettingsChecks.hasText(id, "id");
    SettingsChecks.hasText(service, "service");
    SettingsChecks.hasText(dataCentre, "dataCentre");
    SettingsChecks.isTrue(port >= 0 && port <= 65_535, "port must be 0 to 65535, was " + port);
    SettingsChecks.positive(announceMillis, "announceMillis");
    SettingsChecks.positive(eventLoopThreads, "eventLoopThreads");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link StandinIdentity} instances. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private String id = "";
    private String service = "";
    private String dataCentre = "";
    private int port;
    private String platform = "";
    private long announceMillis = 1_000;
    private int eventLoopThreads = 2;

    private Builder() {}

    /** Sets the id; required. */
    public Builder id(String value) {
      id = value;
      return this;
    }

    /** Sets the service; required. */
    public Builder service(String value) {
      service = value;
      return this;
    }

    /** Sets the data centre; required. */
    public Builder dataCentre(String value) {
      dataCentre = value;
      return this;
    }

    /** Sets the port; 0 by default. */
    public Builder port(int value) {
      port = value;
      return this;
    }

    /** Sets the address of the platform; blank by default. */
    public Builder platform(String value) {
      platform = value;
      return this;
    }

    /** Sets the time in milliseconds between two announcements; 1,000 by default. */
    public Builder announceMillis(long value) {
      announceMillis = value;
      return this;
    }

    /** Sets the number of threads that serve connections; 2 by default. */
    public Builder eventLoopThreads(int value) {
      eventLoopThreads = value;
      return this;
    }

    /** Returns the settings after validation. */
    public StandinIdentity build() {
      return new StandinIdentity(
          id, service, dataCentre, port, platform, announceMillis, eventLoopThreads);
    }
  }
}

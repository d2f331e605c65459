package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import java.util.List;

/**
 * Calls to a plain service that arrive whatever becomes of those before.
 *
 * @param name the name; it labels the results
 * @param requestClass the class; it labels the results
 * @param workspace the workspace; it labels the results
 * @param key the bearer key; blank sends none
 * @param service the service that is asked
 * @param path the path at the service
 * @param keyed whether each call has an idempotency key, which its resends repeat
 * @param bodyBytes the size of a body
 * @param phases the times with a rate of arrivals
 * @param bursts the bursts of arrivals
 * @param resends how often a request that got no answer is sent again, to the next entry
 * @param resendMillis the wait before a resend without a time to come back
 * @param timeoutMillis when the caller gives up on one sending
 * @param limits the limits that must hold
 */
@JsonDeserialize(builder = CallFlow.Builder.class)
public record CallFlow(
    String name,
    String requestClass,
    String workspace,
    String key,
    String service,
    String path,
    boolean keyed,
    int bodyBytes,
    List<Phase> phases,
    List<Burst> bursts,
    int resends,
    long resendMillis,
    long timeoutMillis,
    Limits limits) {

  /** Checks the values. */
  public CallFlow {
    SettingsChecks.hasText(name, "name");
    SettingsChecks.hasText(requestClass, "requestClass");
    SettingsChecks.hasText(workspace, "workspace");
    SettingsChecks.hasText(service, "service");
    SettingsChecks.isTrue(path.startsWith("/"), "path must begin with /");
    SettingsChecks.notNegative(bodyBytes, "bodyBytes");
    phases = List.copyOf(phases);
    bursts = List.copyOf(bursts);
    SettingsChecks.notNegative(resends, "resends");
    SettingsChecks.notNegative(resendMillis, "resendMillis");
    SettingsChecks.positive(timeoutMillis, "timeoutMillis");
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private String name = "";
    private String requestClass = "interactive";
    private String workspace = "";
    private String key = "";
    private String service = "";
    private String path = "/call";
    private boolean keyed = true;
    private int bodyBytes = 100;
    private List<Phase> phases = List.of();
    private List<Burst> bursts = List.of();
    private int resends;
    private long resendMillis = 200;
    private long timeoutMillis = 30_000;
    private Limits limits = Limits.builder().build();

    private Builder() {}

    /** Sets the name; blank by default. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the class; "interactive" by default. */
    public Builder requestClass(String value) {
      requestClass = value;
      return this;
    }

    /** Sets the workspace; blank by default. */
    public Builder workspace(String value) {
      workspace = value;
      return this;
    }

    /** Sets the bearer key; blank by default. */
    public Builder key(String value) {
      key = value;
      return this;
    }

    /** Sets the service that is asked; blank by default. */
    public Builder service(String value) {
      service = value;
      return this;
    }

    /** Sets the path at the service; "/call" by default. */
    public Builder path(String value) {
      path = value;
      return this;
    }

    /** Sets whether each call has an idempotency key; yes by default. */
    public Builder keyed(boolean value) {
      keyed = value;
      return this;
    }

    /** Sets the size of a body; 100 by default. */
    public Builder bodyBytes(int value) {
      bodyBytes = value;
      return this;
    }

    /** Sets the times with a rate of arrivals; none by default. */
    public Builder phases(List<Phase> value) {
      phases = value;
      return this;
    }

    /** Sets the bursts of arrivals; none by default. */
    public Builder bursts(List<Burst> value) {
      bursts = value;
      return this;
    }

    /** Sets how often a request that got no answer is sent again; 0 by default. */
    public Builder resends(int value) {
      resends = value;
      return this;
    }

    /** Sets the wait before a resend without a time to come back; 200 by default. */
    public Builder resendMillis(long value) {
      resendMillis = value;
      return this;
    }

    /** Sets when the caller gives up on one sending; 30,000 by default. */
    public Builder timeoutMillis(long value) {
      timeoutMillis = value;
      return this;
    }

    /** Sets the limits that must hold; no limits by default. */
    public Builder limits(Limits value) {
      limits = value;
      return this;
    }

    /** Returns the checked values. */
    public CallFlow build() {
      return new CallFlow(
          name,
          requestClass,
          workspace,
          key,
          service,
          path,
          keyed,
          bodyBytes,
          phases,
          bursts,
          resends,
          resendMillis,
          timeoutMillis,
          limits);
    }
  }
}

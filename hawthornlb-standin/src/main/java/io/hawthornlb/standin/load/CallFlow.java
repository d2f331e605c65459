package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import java.util.List;

/**
 * A flow of calls to a plain HTTP service that arrive at fixed times, whether or not earlier calls
 * have been answered (open loop).
 *
 * @param name the name of the flow, which labels its results
 * @param requestClass the request class, which labels the results
 * @param workspace the workspace, which labels the results
 * @param key the bearer token; if blank, requests carry no authorization
 * @param service the name of the service that receives the requests
 * @param path the request path at the service
 * @param keyed whether each call has an idempotency key, which its retries repeat
 * @param bodyBytes the size of a request body in bytes
 * @param phases the time spans in which requests arrive at random, each with its rate
 * @param bursts the bursts of requests
 * @param resends the maximum number of retries of a request that got no answer; each retry goes to
 *     the next entry instance
 * @param resendMillis the delay before a retry if the outcome names no retry delay
 * @param timeoutMillis the timeout of one attempt
 * @param limits the limits that the results must not exceed
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

  /** Validates the components. */
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

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link CallFlow}. */
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

    /** Sets the name of the flow; required. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the request class; "interactive" by default. */
    public Builder requestClass(String value) {
      requestClass = value;
      return this;
    }

    /** Sets the workspace; required. */
    public Builder workspace(String value) {
      workspace = value;
      return this;
    }

    /** Sets the bearer token; blank by default. */
    public Builder key(String value) {
      key = value;
      return this;
    }

    /** Sets the name of the service that receives the requests; required. */
    public Builder service(String value) {
      service = value;
      return this;
    }

    /** Sets the request path at the service; "/call" by default. */
    public Builder path(String value) {
      path = value;
      return this;
    }

    /** Sets whether each call has an idempotency key; true by default. */
    public Builder keyed(boolean value) {
      keyed = value;
      return this;
    }

    /** Sets the size of a request body in bytes; 100 by default. */
    public Builder bodyBytes(int value) {
      bodyBytes = value;
      return this;
    }

    /** Sets the time spans in which requests arrive at random; none by default. */
    public Builder phases(List<Phase> value) {
      phases = value;
      return this;
    }

    /** Sets the bursts of requests; none by default. */
    public Builder bursts(List<Burst> value) {
      bursts = value;
      return this;
    }

    /** Sets the maximum number of retries of a request that got no answer; 0 by default. */
    public Builder resends(int value) {
      resends = value;
      return this;
    }

    /** Sets the delay before a retry if the outcome names no retry delay; 200 by default. */
    public Builder resendMillis(long value) {
      resendMillis = value;
      return this;
    }

    /** Sets the timeout of one attempt; 30,000 by default. */
    public Builder timeoutMillis(long value) {
      timeoutMillis = value;
      return this;
    }

    /** Sets the limits of the results; by default only cut answers are limited, to 0. */
    public Builder limits(Limits value) {
      limits = value;
      return this;
    }

    /** Returns a validated flow. */
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

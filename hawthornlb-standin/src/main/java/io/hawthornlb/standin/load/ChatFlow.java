package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import java.util.List;

/**
 * A flow of chat completion requests that arrive at fixed times, whether or not earlier requests
 * have been answered (open loop).
 *
 * @param name the name of the flow, which labels its results
 * @param requestClass the request class, which labels the results
 * @param workspace the workspace, which labels the results
 * @param key the bearer token; if blank, requests carry no authorization
 * @param service the name of the service that receives the requests
 * @param stream whether answers are streamed token by token
 * @param shape the sizes of the chats
 * @param phases the time spans in which requests arrive at random, each with its rate
 * @param bursts the bursts of requests
 * @param resends the maximum number of retries of a request that got no answer; each retry goes to
 *     the next entry instance
 * @param resendMillis the delay before a retry if the outcome names no retry delay
 * @param timeoutMillis the timeout of one attempt
 * @param limits the limits that the results must not exceed
 */
@JsonDeserialize(builder = ChatFlow.Builder.class)
public record ChatFlow(
    String name,
    String requestClass,
    String workspace,
    String key,
    String service,
    boolean stream,
    ChatShape shape,
    List<Phase> phases,
    List<Burst> bursts,
    int resends,
    long resendMillis,
    long timeoutMillis,
    Limits limits) {

  /** Validates the components. */
  public ChatFlow {
    SettingsChecks.hasText(name, "name");
    SettingsChecks.hasText(requestClass, "requestClass");
    SettingsChecks.hasText(workspace, "workspace");
    SettingsChecks.hasText(service, "service");
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

  /** Builder for {@link ChatFlow}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private String name = "";
    private String requestClass = "interactive";
    private String workspace = "";
    private String key = "";
    private String service = "";
    private boolean stream = true;
    private ChatShape shape = ChatShape.builder().build();
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

    /** Sets whether answers are streamed token by token; true by default. */
    public Builder stream(boolean value) {
      stream = value;
      return this;
    }

    /** Sets the sizes of the chats; the defaults of {@link ChatShape} by default. */
    public Builder shape(ChatShape value) {
      shape = value;
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
    public ChatFlow build() {
      return new ChatFlow(
          name,
          requestClass,
          workspace,
          key,
          service,
          stream,
          shape,
          phases,
          bursts,
          resends,
          resendMillis,
          timeoutMillis,
          limits);
    }
  }
}

package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * One service of the catalogue.
 *
 * @param name name that callers use
 * @param owner who is responsible for the entry
 * @param kind kind of endpoint that serves requests
 * @param requestClass class of the service's online requests
 * @param limits limits on all requests of the service together
 * @param deadline time within which an online request must be answered
 * @param firstToken time within which a streamed answer must begin
 * @param repeatability which requests may be executed more than once
 * @param batchWeight weight of batch throughput against the tail latency of online requests, from 0
 *     to 1
 * @param resultRetention time for which results stay readable
 */
public record ServiceEntry(
    ServiceName name,
    String owner,
    ServiceKind kind,
    RequestClass requestClass,
    Limits limits,
    Duration deadline,
    Duration firstToken,
    Repeatability repeatability,
    double batchWeight,
    Duration resultRetention) {

  /** Deadline of an entry that declares none. */
  public static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(60);

  /** Time to the first token of an entry that declares none. */
  public static final Duration DEFAULT_FIRST_TOKEN = Duration.ofMillis(1_600);

  /** Checks the owner, the times and the weight. */
  public ServiceEntry {
    Checks.hasText(owner, "owner");
    Checks.isTrue(!deadline.isNegative() && !deadline.isZero(), "deadline must be positive");
    Checks.isTrue(firstToken.compareTo(deadline) <= 0, "first token must be due by the deadline");
    Checks.isTrue(batchWeight >= 0 && batchWeight <= 1, "batch weight must be from 0 to 1");
    Checks.isTrue(!resultRetention.isNegative(), "result retention must not be negative");
  }

  /** Returns a builder with the defaults for a kind of endpoint. */
  public static Builder builder(ServiceName name, String owner, ServiceKind kind) {
    return new Builder(name, owner, kind);
  }

  /** Builder of a {@link ServiceEntry}. */
  public static final class Builder {

    private final ServiceName name;
    private final String owner;
    private final ServiceKind kind;
    private RequestClass requestClass = RequestClass.INTERACTIVE;
    private Limits limits = Limits.DEFAULT;
    private Duration deadline = DEFAULT_DEADLINE;
    private Duration firstToken = DEFAULT_FIRST_TOKEN;
    private Repeatability repeatability;
    private double batchWeight = 0.5;
    private Duration resultRetention = Duration.ofHours(24);

    private Builder(ServiceName name, String owner, ServiceKind kind) {
      this.name = name;
      this.owner = owner;
      this.kind = kind;
      this.repeatability =
          kind == ServiceKind.ENGINE ? Repeatability.IDEMPOTENT : Repeatability.SAFE_METHODS;
    }

    /** Sets the class of online requests; interactive by default. */
    public Builder requestClass(RequestClass value) {
      this.requestClass = value;
      return this;
    }

    /** Sets the limits; {@link Limits#DEFAULT} by default. */
    public Builder limits(Limits value) {
      this.limits = value;
      return this;
    }

    /** Sets the deadline; 60 seconds by default. */
    public Builder deadline(Duration value) {
      this.deadline = value;
      return this;
    }

    /** Sets the time to the first token; 1.6 seconds by default. */
    public Builder firstToken(Duration value) {
      this.firstToken = value;
      return this;
    }

    /**
     * Sets which requests may be repeated; by default all requests to an engine, and requests with
     * a safe HTTP method to other services.
     */
    public Builder repeatability(Repeatability value) {
      this.repeatability = value;
      return this;
    }

    /** Sets the weight of batch throughput, from 0 to 1; 0.5 by default. */
    public Builder batchWeight(double value) {
      this.batchWeight = value;
      return this;
    }

    /** Sets the time for which results stay readable; 24 hours by default. */
    public Builder resultRetention(Duration value) {
      this.resultRetention = value;
      return this;
    }

    /** Returns the entry. */
    public ServiceEntry build() {
      return new ServiceEntry(
          name,
          owner,
          kind,
          requestClass,
          limits,
          deadline,
          firstToken,
          repeatability,
          batchWeight,
          resultRetention);
    }
  }
}

package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import java.util.List;

/**
 * A scenario of the load tool: the load, the faults and the checked instances of a run.
 *
 * @param name the name of the scenario, which is the title of the report
 * @param seed the seed of the random arrival times and contents
 * @param durationMillis the time span in which requests arrive
 * @param drainMillis the maximum wait for outstanding answers and jobs after that time span
 * @param maxRequests the maximum number of requests, and also of job items, in a run
 * @param threads the number of threads that read answers
 * @param entries the addresses of the entry instances
 * @param services the addresses of the plain service stand-ins whose run counts are compared with
 *     the answers
 * @param endpoints the addresses of the endpoints that are checked at the end of the run
 * @param endpointsLost the maximum number of these endpoints that may not answer
 * @param compareWithoutJobs whether the same online load is first run without the jobs, for
 *     comparison
 * @param chats the flows of chat completions
 * @param calls the flows of calls to plain services
 * @param jobs the flows of batch jobs
 * @param actions the actions that switch faults on and off
 */
@JsonDeserialize(builder = Scenario.Builder.class)
public record Scenario(
    String name,
    long seed,
    long durationMillis,
    long drainMillis,
    int maxRequests,
    int threads,
    List<String> entries,
    List<String> services,
    List<String> endpoints,
    int endpointsLost,
    boolean compareWithoutJobs,
    List<ChatFlow> chats,
    List<CallFlow> calls,
    List<JobFlow> jobs,
    List<Action> actions) {

  private static final long MAX_DURATION_MILLIS = 600_000;

  /** Validates the components. */
  public Scenario {
    SettingsChecks.hasText(name, "name");
    SettingsChecks.isTrue(
        durationMillis > 0 && durationMillis <= MAX_DURATION_MILLIS,
        "durationMillis must be 1 to " + MAX_DURATION_MILLIS);
    SettingsChecks.isTrue(
        drainMillis >= 0 && drainMillis <= MAX_DURATION_MILLIS,
        "drainMillis must be 0 to " + MAX_DURATION_MILLIS);
    SettingsChecks.positive(maxRequests, "maxRequests");
    SettingsChecks.positive(threads, "threads");
    entries = List.copyOf(entries);
    SettingsChecks.isTrue(!entries.isEmpty(), "entries must not be empty");
    services = List.copyOf(services);
    endpoints = List.copyOf(endpoints);
    SettingsChecks.notNegative(endpointsLost, "endpointsLost");
    chats = List.copyOf(chats);
    calls = List.copyOf(calls);
    jobs = List.copyOf(jobs);
    actions = List.copyOf(actions);
  }

  /** Returns a scenario with the same online load and faults but without the jobs. */
  public Scenario withoutJobs() {
    return new Scenario(
        name + " without jobs",
        seed,
        durationMillis,
        drainMillis,
        maxRequests,
        threads,
        entries,
        services,
        endpoints,
        endpointsLost,
        false,
        chats,
        calls,
        List.of(),
        actions);
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link Scenario}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private String name = "";
    private long seed = 1;
    private long durationMillis = 20_000;
    private long drainMillis = 30_000;
    private int maxRequests = 200_000;
    private int threads = 4;
    private List<String> entries = List.of();
    private List<String> services = List.of();
    private List<String> endpoints = List.of();
    private int endpointsLost;
    private boolean compareWithoutJobs;
    private List<ChatFlow> chats = List.of();
    private List<CallFlow> calls = List.of();
    private List<JobFlow> jobs = List.of();
    private List<Action> actions = List.of();

    private Builder() {}

    /** Sets the name of the scenario; required. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the seed of the random arrival times and contents; 1 by default. */
    public Builder seed(long value) {
      seed = value;
      return this;
    }

    /** Sets the time span in which requests arrive; 20,000 by default. */
    public Builder durationMillis(long value) {
      durationMillis = value;
      return this;
    }

    /** Sets the maximum wait for outstanding answers and jobs; 30,000 by default. */
    public Builder drainMillis(long value) {
      drainMillis = value;
      return this;
    }

    /** Sets the maximum number of requests, and also of job items; 200,000 by default. */
    public Builder maxRequests(int value) {
      maxRequests = value;
      return this;
    }

    /** Sets the number of threads that read answers; 4 by default. */
    public Builder threads(int value) {
      threads = value;
      return this;
    }

    /** Sets the addresses of the entry instances; at least one is required. */
    public Builder entries(List<String> value) {
      entries = value;
      return this;
    }

    /** Sets the addresses of plain service stand-ins; none by default. */
    public Builder services(List<String> value) {
      services = value;
      return this;
    }

    /** Sets the addresses of the endpoints that are checked at the end; none by default. */
    public Builder endpoints(List<String> value) {
      endpoints = value;
      return this;
    }

    /** Sets the maximum number of endpoints that may not answer at the end; 0 by default. */
    public Builder endpointsLost(int value) {
      endpointsLost = value;
      return this;
    }

    /** Sets whether the same online load is first run without the jobs; false by default. */
    public Builder compareWithoutJobs(boolean value) {
      compareWithoutJobs = value;
      return this;
    }

    /** Sets the flows of chat completions; none by default. */
    public Builder chats(List<ChatFlow> value) {
      chats = value;
      return this;
    }

    /** Sets the flows of calls to plain services; none by default. */
    public Builder calls(List<CallFlow> value) {
      calls = value;
      return this;
    }

    /** Sets the flows of batch jobs; none by default. */
    public Builder jobs(List<JobFlow> value) {
      jobs = value;
      return this;
    }

    /** Sets the actions that switch faults on and off; none by default. */
    public Builder actions(List<Action> value) {
      actions = value;
      return this;
    }

    /** Returns a validated scenario. */
    public Scenario build() {
      return new Scenario(
          name,
          seed,
          durationMillis,
          drainMillis,
          maxRequests,
          threads,
          entries,
          services,
          endpoints,
          endpointsLost,
          compareWithoutJobs,
          chats,
          calls,
          jobs,
          actions);
    }
  }
}

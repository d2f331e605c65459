package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import java.util.List;

/**
 * What a run of the load tool does.
 *
 * @param name the name; it heads the report
 * @param seed what draws arrivals and contents
 * @param durationMillis how long requests arrive
 * @param drainMillis how long answers and jobs are awaited after that
 * @param maxRequests the most requests and items that a run may have
 * @param threads the threads that read answers
 * @param entries the addresses of the entries
 * @param services the addresses of plain service stand-ins, whose calls are compared
 * @param endpoints the addresses of endpoints that are looked at in the end
 * @param endpointsLost how many of them may be gone then
 * @param compareWithoutJobs whether the same online load runs first without the jobs
 * @param chats the chats
 * @param calls the calls to plain services
 * @param jobs the batch jobs
 * @param actions the faults
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

  /** Checks the values. */
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

  /** Returns the same online load without the jobs. */
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

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
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

    /** Sets the name; blank by default. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets what draws arrivals and contents; 1 by default. */
    public Builder seed(long value) {
      seed = value;
      return this;
    }

    /** Sets how long requests arrive; 20,000 by default. */
    public Builder durationMillis(long value) {
      durationMillis = value;
      return this;
    }

    /** Sets how long answers and jobs are awaited after that; 30,000 by default. */
    public Builder drainMillis(long value) {
      drainMillis = value;
      return this;
    }

    /** Sets the most requests and items that a run may have; 200,000 by default. */
    public Builder maxRequests(int value) {
      maxRequests = value;
      return this;
    }

    /** Sets the threads that read answers; 4 by default. */
    public Builder threads(int value) {
      threads = value;
      return this;
    }

    /** Sets the addresses of the entries; none by default. */
    public Builder entries(List<String> value) {
      entries = value;
      return this;
    }

    /** Sets the addresses of plain service stand-ins; none by default. */
    public Builder services(List<String> value) {
      services = value;
      return this;
    }

    /** Sets the addresses of endpoints that are looked at in the end; none by default. */
    public Builder endpoints(List<String> value) {
      endpoints = value;
      return this;
    }

    /** Sets how many endpoints may be gone in the end; 0 by default. */
    public Builder endpointsLost(int value) {
      endpointsLost = value;
      return this;
    }

    /** Sets whether the same online load runs first without the jobs; no by default. */
    public Builder compareWithoutJobs(boolean value) {
      compareWithoutJobs = value;
      return this;
    }

    /** Sets the chats; none by default. */
    public Builder chats(List<ChatFlow> value) {
      chats = value;
      return this;
    }

    /** Sets the calls to plain services; none by default. */
    public Builder calls(List<CallFlow> value) {
      calls = value;
      return this;
    }

    /** Sets the batch jobs; none by default. */
    public Builder jobs(List<JobFlow> value) {
      jobs = value;
      return this;
    }

    /** Sets the faults; none by default. */
    public Builder actions(List<Action> value) {
      actions = value;
      return this;
    }

    /** Returns the checked values. */
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

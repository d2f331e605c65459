package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * A flow of batch jobs whose items are chat completions.
 *
 * @param name the name of the flow, which labels its results
 * @param requestClass the request class, which labels the results
 * @param workspace the workspace, which labels the results
 * @param key the bearer token; if blank, requests carry no authorization
 * @param service the name of the service that receives the requests
 * @param shape the sizes of the chats
 * @param jobs the number of jobs
 * @param atMillis the time from the start of the run at which the first job is submitted
 * @param everyMillis the interval between the submissions of successive jobs
 * @param items the number of items in each job
 * @param impossibleItems the number of these items that need a longer context than any engine has
 * @param submissions the number of times that each job is submitted with the same idempotency key;
 *     each submission must return the same id
 * @param dueMillis the due time of a job, counted from its submission; 0 sends no due time
 * @param cancelAfterMillis the time from the intended submission of a job to its cancellation; 0
 *     never cancels a job
 * @param pollMillis the interval between two status requests for a job
 */
@JsonDeserialize(builder = JobFlow.Builder.class)
public record JobFlow(
    String name,
    String requestClass,
    String workspace,
    String key,
    String service,
    ChatShape shape,
    int jobs,
    long atMillis,
    long everyMillis,
    int items,
    int impossibleItems,
    int submissions,
    long dueMillis,
    long cancelAfterMillis,
    long pollMillis) {

  /** Validates the components. */
  public JobFlow {
    SettingsChecks.hasText(name, "name");
    SettingsChecks.hasText(requestClass, "requestClass");
    SettingsChecks.hasText(workspace, "workspace");
    SettingsChecks.hasText(service, "service");
    SettingsChecks.positive(jobs, "jobs");
    SettingsChecks.notNegative(atMillis, "atMillis");
    SettingsChecks.notNegative(everyMillis, "everyMillis");
    SettingsChecks.positive(items, "items");
    SettingsChecks.notNegative(impossibleItems, "impossibleItems");
    SettingsChecks.positive(submissions, "submissions");
    SettingsChecks.notNegative(dueMillis, "dueMillis");
    SettingsChecks.notNegative(cancelAfterMillis, "cancelAfterMillis");
    SettingsChecks.positive(pollMillis, "pollMillis");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link JobFlow}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private String name = "";
    private String requestClass = "batch";
    private String workspace = "";
    private String key = "";
    private String service = "";
    private ChatShape shape = ChatShape.builder().build();
    private int jobs = 1;
    private long atMillis;
    private long everyMillis;
    private int items = 100;
    private int impossibleItems;
    private int submissions = 1;
    private long dueMillis;
    private long cancelAfterMillis;
    private long pollMillis = 500;

    private Builder() {}

    /** Sets the name of the flow; required. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the request class; "batch" by default. */
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

    /** Sets the sizes of the chats; the defaults of {@link ChatShape} by default. */
    public Builder shape(ChatShape value) {
      shape = value;
      return this;
    }

    /** Sets the number of jobs; 1 by default. */
    public Builder jobs(int value) {
      jobs = value;
      return this;
    }

    /** Sets the time at which the first job is submitted; 0 by default. */
    public Builder atMillis(long value) {
      atMillis = value;
      return this;
    }

    /** Sets the interval between the submissions of successive jobs; 0 by default. */
    public Builder everyMillis(long value) {
      everyMillis = value;
      return this;
    }

    /** Sets the number of items in each job; 100 by default. */
    public Builder items(int value) {
      items = value;
      return this;
    }

    /** Sets the number of items that need a longer context than any engine has; 0 by default. */
    public Builder impossibleItems(int value) {
      impossibleItems = value;
      return this;
    }

    /** Sets the number of submissions of each job with the same idempotency key; 1 by default. */
    public Builder submissions(int value) {
      submissions = value;
      return this;
    }

    /** Sets the due time of a job, counted from its submission; 0, which sends none, by default. */
    public Builder dueMillis(long value) {
      dueMillis = value;
      return this;
    }

    /** Sets the time from the intended submission to the cancellation; 0, never, by default. */
    public Builder cancelAfterMillis(long value) {
      cancelAfterMillis = value;
      return this;
    }

    /** Sets the interval between two status requests for a job; 500 by default. */
    public Builder pollMillis(long value) {
      pollMillis = value;
      return this;
    }

    /** Returns a validated flow. */
    public JobFlow build() {
      return new JobFlow(
          name,
          requestClass,
          workspace,
          key,
          service,
          shape,
          jobs,
          atMillis,
          everyMillis,
          items,
          impossibleItems,
          submissions,
          dueMillis,
          cancelAfterMillis,
          pollMillis);
    }
  }
}

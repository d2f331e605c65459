package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * Batch jobs of chat completions.
 *
 * @param name the name; it labels the results
 * @param requestClass the class; it labels the results
 * @param workspace the workspace; it labels the results
 * @param key the bearer key; blank sends none
 * @param service the service that is asked
 * @param shape the shape of the chats
 * @param jobs how many jobs there are
 * @param atMillis when the first is submitted
 * @param everyMillis the time between two submissions
 * @param items the items in each
 * @param impossibleItems how many of them ask for a context that no engine has
 * @param submissions how often each is sent with the same key; the id must be the same
 * @param dueMillis when a job is due after its submission; 0 sends no due time
 * @param cancelAfterMillis when a job is cancelled after its submission; 0 is never
 * @param pollMillis the time between two looks at a job
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

  /** Checks the values. */
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

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
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

    /** Sets the name; blank by default. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the class; "batch" by default. */
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

    /** Sets the shape of the chats; no limits by default. */
    public Builder shape(ChatShape value) {
      shape = value;
      return this;
    }

    /** Sets how many jobs there are; 1 by default. */
    public Builder jobs(int value) {
      jobs = value;
      return this;
    }

    /** Sets when the first is submitted; 0 by default. */
    public Builder atMillis(long value) {
      atMillis = value;
      return this;
    }

    /** Sets the time between two submissions; 0 by default. */
    public Builder everyMillis(long value) {
      everyMillis = value;
      return this;
    }

    /** Sets the items in each; 100 by default. */
    public Builder items(int value) {
      items = value;
      return this;
    }

    /** Sets how many of them ask for a context that no engine has; 0 by default. */
    public Builder impossibleItems(int value) {
      impossibleItems = value;
      return this;
    }

    /** Sets how often each is sent with the same key; 1 by default. */
    public Builder submissions(int value) {
      submissions = value;
      return this;
    }

    /** Sets when a job is due after its submission; 0 by default. */
    public Builder dueMillis(long value) {
      dueMillis = value;
      return this;
    }

    /** Sets when a job is cancelled after its submission; 0 by default. */
    public Builder cancelAfterMillis(long value) {
      cancelAfterMillis = value;
      return this;
    }

    /** Sets the time between two looks at a job; 500 by default. */
    public Builder pollMillis(long value) {
      pollMillis = value;
      return this;
    }

    /** Returns the checked values. */
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

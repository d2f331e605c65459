package io.hawthornlb.core.job;

import io.hawthornlb.core.util.Checks;

/**
 * One item of a job as the caller gave it.
 *
 * @param customId the caller's name of the item, unique in its job
 * @param method the HTTP method
 * @param url the path of the call
 * @param body the body of the call
 */
public record JobItem(String customId, String method, String url, String body) {

  /** Checks that the item is named. */
  public JobItem {
    Checks.hasText(customId, "custom id");
    Checks.hasText(method, "method");
    Checks.hasText(url, "url");
  }
}

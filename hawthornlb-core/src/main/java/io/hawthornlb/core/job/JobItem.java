package io.hawthornlb.core.job;

import io.hawthornlb.core.util.Checks;

/**
 * One item of a job as the caller submitted it.
 *
 * @param customId the id that the caller gave the item, unique in its job
 * @param method the HTTP method
 * @param url the path of the request to the endpoint
 * @param body the body of the request to the endpoint
 */
public record JobItem(String customId, String method, String url, String body) {

  /** Checks that the id, the method and the path are not blank. */
  public JobItem {
    Checks.hasText(customId, "custom id");
    Checks.hasText(method, "method");
    Checks.hasText(url, "url");
  }
}

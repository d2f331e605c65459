package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.decode.HttpText;
import io.hawthornlb.gateway.decode.UnreadableException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One request of a job.
 *
 * @param id id of the item
 * @param path path at the endpoint
 * @param headers headers of the request
 * @param body body of the request
 */
public record JobItem(String id, String path, Map<String, String> headers, byte[] body) {

  /**
   * Checks the arguments: callers and whoever writes to the log name them.
   *
   * @throws UnreadableException if they make no request, or no key of a record
   */
  public JobItem {
    HttpText.id("Id", id, JobRecords.MAX_ID);
    HttpText.path("Path", path);
    headers.forEach(
        (name, value) -> {
          HttpText.headerName("Headers", name);
          HttpText.headerValue("Headers", value);
        });
  }

  /**
   * Returns the items of a job.
   *
   * @throws UnreadableException if two have one id, since each has one result under its id
   */
  public static List<JobItem> checked(List<JobItem> items) {
    Set<String> ids = new HashSet<>();
    for (JobItem item : items) {
      if (!ids.add(item.id())) {
        throw new UnreadableException("Id", "twice in one job");
      }
    }
    return items;
  }
}

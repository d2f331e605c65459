package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.decode.HttpText;
import io.hawthornlb.gateway.decode.UnreadableException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One request of a batch job.
 *
 * @param id id of the item, unique within its job
 * @param path path of the request at the endpoint
 * @param headers headers of the request
 * @param body body of the request
 */
public record JobItem(String id, String path, Map<String, String> headers, byte[] body) {

  /**
   * Checks the arguments, since callers and other writers to the log choose them.
   *
   * @throws UnreadableException if the arguments do not form a valid request or a valid key of a
   *     record
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
   * Returns the items of a job after a check for duplicate ids.
   *
   * @throws UnreadableException if two items have the same id, since an item's result is stored
   *     under its id
   */
  public static List<JobItem> checked(List<JobItem> items) {
    Set<String> ids = new HashSet<>();
    for (JobItem item : items) {
      if (!ids.add(item.id())) {
        throw new UnreadableException("Id", "occurs twice in one job");
      }
    }
    return items;
  }
}

package io.hawthornlb.core.job;

import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.ContentDigest;
import java.time.Instant;

/**
 * Hashes the content of a submission item by item, so that an entry instance never needs a whole
 * job in memory.
 */
public final class JobContentHash {

  private final ContentDigest digest = new ContentDigest();

  /** Creates the hash of a submission without items. */
  public JobContentHash() {}

  /** Adds the next item in the caller's order. */
  public JobContentHash add(ServiceName service, JobItem item) {
    digest
        .add(service.value())
        .add(item.customId())
        .add(item.method())
        .add(item.url())
        .add(item.body());
    return this;
  }

  /**
   * Returns the hash of all added items and of the due time that the caller gave, in hexadecimal.
   */
  public String hex(Instant due) {
    return digest.add(due.toString()).hex();
  }
}

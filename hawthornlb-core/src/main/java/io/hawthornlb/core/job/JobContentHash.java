package io.hawthornlb.core.job;

import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.ContentDigest;
import java.time.Instant;

/** Hashes the content of a submission item by item, so that no entry holds a whole job. */
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

  /** Returns the hash of the items and the due time that the caller gave. */
  public String hex(Instant due) {
    return digest.add(due.toString()).hex();
  }
}

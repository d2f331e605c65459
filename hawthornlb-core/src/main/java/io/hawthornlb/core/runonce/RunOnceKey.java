package io.hawthornlb.core.runonce;

import io.hawthornlb.core.claim.PartitionHash;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.util.Checks;

/**
 * Names a request that may run once.
 *
 * @param workspace the workspace of the caller
 * @param value the caller's idempotency key, or one that an entry made for a request without
 */
public record RunOnceKey(WorkspaceId workspace, String value) {

  /** Checks that the key is not blank. */
  public RunOnceKey {
    Checks.hasText(value, "idempotency key");
  }

  /** Returns the partition that decides for this key. */
  public PartitionId partition(int partitions) {
    return PartitionHash.partition(workspace.value() + '\n' + value, partitions);
  }
}

package io.hawthornlb.core.runonce;

import io.hawthornlb.core.claim.PartitionHash;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.util.Checks;

/**
 * Identifies a request that runs at most once.
 *
 * @param workspace the workspace of the caller
 * @param value the idempotency key of the caller, or a key that the entry instance generated for a
 *     request without one
 */
public record RunOnceKey(WorkspaceId workspace, String value) {

  /** Checks that the key is not blank. */
  public RunOnceKey {
    Checks.hasText(value, "idempotency key");
  }

  /** Returns the partition that is responsible for this key. */
  public PartitionId partition(int partitions) {
    return PartitionHash.partition(workspace.value() + '\n' + value, partitions);
  }
}

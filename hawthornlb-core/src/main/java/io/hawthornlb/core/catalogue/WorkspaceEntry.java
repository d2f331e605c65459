package io.hawthornlb.core.catalogue;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.util.Checks;
import java.util.List;

/**
 * One workspace of the catalogue.
 *
 * @param id id of the workspace
 * @param owner who is responsible for the entry
 * @param keyHashes SHA-256 hash of each bearer key, in lower-case hexadecimal
 * @param limits limits on all requests of the workspace together
 * @param weight share of the workspace under contention, relative to other workspaces
 */
public record WorkspaceEntry(
    WorkspaceId id, String owner, List<String> keyHashes, Limits limits, double weight) {

  /** Checks the owner and the weight, and copies the keys. */
  public WorkspaceEntry {
    Checks.hasText(owner, "owner");
    Checks.isTrue(weight > 0, "weight must be positive");
    keyHashes = List.copyOf(keyHashes);
  }
}

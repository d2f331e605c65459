package io.hawthornlb.core.log;

import io.hawthornlb.core.util.Checks;

/**
 * Stands for a record whose type this version does not know.
 *
 * <p>Folds pass over it, but write no snapshot of the stream after it: their state lacks what the
 * record did.
 *
 * @param typeName the type name on the wire
 */
public record UnknownRecord(String typeName) implements RecordBody {

  /** Checks the type name. */
  public UnknownRecord {
    Checks.hasText(typeName, "type name");
  }
}

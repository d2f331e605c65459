package io.hawthornlb.core.log;

import io.hawthornlb.core.util.Checks;

/**
 * Placeholder for a record whose type this version does not know.
 *
 * <p>A fold ignores the record, but writes no snapshot of the stream afterwards, because its state
 * lacks the effect of the record.
 *
 * @param typeName the type name on the wire
 */
public record UnknownRecord(String typeName) implements RecordBody {

  /** Checks the type name. */
  public UnknownRecord {
    Checks.hasText(typeName, "type name");
  }
}

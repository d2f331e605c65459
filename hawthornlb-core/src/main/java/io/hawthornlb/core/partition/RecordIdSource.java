package io.hawthornlb.core.partition;

import io.hawthornlb.core.log.RecordId;

/** Numbers the records of one instance; no number is given twice. */
public interface RecordIdSource {

  /** Returns the next id. */
  RecordId next();
}

package io.hawthornlb.net.platform;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;
import java.util.concurrent.CompletionStage;

/** Carries out {@link AppendRecord} effects. Safe for use by several threads. */
public interface LogWriter {

  /**
   * Appends a record, and resends the record with the same id after each lost response.
   *
   * <p>The stage completes with the offset of an occurrence of the record, which need not be the
   * first one. Callers must therefore take the effect of a record, and the epoch of a claim, from
   * the fold alone. The stage fails with {@link RecordNotAppendedException} if the writer gave up.
   */
  CompletionStage<Long> append(AppendRecord effect);

  /** Notifies the writer that a record was read from its stream, so that it is not resent. */
  void seen(StreamName stream, RecordId id, long offset);
}

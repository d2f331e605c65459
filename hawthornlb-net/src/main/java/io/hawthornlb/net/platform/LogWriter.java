package io.hawthornlb.net.platform;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;
import java.util.concurrent.CompletionStage;

/** Carries out {@link AppendRecord} effects; may be used from any thread. */
public interface LogWriter {

  /**
   * Appends a record, resending it with the same id after each lost answer.
   *
   * <p>The stage completes with the offset of an occurrence of the record, which need not be the
   * first: what a record changed, and the epoch of a claim, come from the fold alone. It fails with
   * {@link RecordNotAppendedException} when the writer gave up.
   */
  CompletionStage<Long> append(AppendRecord effect);

  /** Tells that a record was read from its stream, so that it is not sent again. */
  void seen(StreamName stream, RecordId id, long offset);
}

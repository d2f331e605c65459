package io.hawthornlb.net.platform;

import io.hawthornlb.core.log.StreamName;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Provides records that other instances have read, for use while the platform is unavailable. */
public interface MissedRecordSource {

  /** A source without records. */
  MissedRecordSource NONE =
      (stream, from, max) -> CompletableFuture.completedFuture(new LogPage(List.of(), from, from));

  /**
   * Returns records of a stream, starting at an offset.
   *
   * <p>The page starts above {@code from} if the source no longer has the record at that offset. An
   * empty page means that the source has no newer records.
   */
  CompletionStage<LogPage> read(StreamName stream, long from, int max);
}

package io.hawthornlb.net.platform;

import io.hawthornlb.core.log.StreamName;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Gives records that other instances have read, for the time when the platform is away. */
public interface MissedRecordSource {

  /** A source that has nothing. */
  MissedRecordSource NONE =
      (stream, from, max) -> CompletableFuture.completedFuture(new LogPage(List.of(), from, from));

  /**
   * Returns records of a stream from an offset on.
   *
   * <p>The page starts above {@code from} where the source no longer has it; an empty page means
   * that the source has nothing newer.
   */
  CompletionStage<LogPage> read(StreamName stream, long from, int max);
}

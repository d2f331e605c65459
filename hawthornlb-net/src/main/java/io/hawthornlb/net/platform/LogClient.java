package io.hawthornlb.net.platform;

import io.hawthornlb.core.log.StreamName;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's append-only log; every call may fail after it took effect. */
public interface LogClient {

  /**
   * Appends records in one call and returns the offset of the first.
   *
   * <p>The stage fails with {@link LogUnavailableException} when no answer came; the records may
   * then stand in the stream or not.
   */
  CompletionStage<Long> append(StreamName stream, List<byte[]> records);

  /**
   * Reads records from an offset on, waiting for the first at most {@code wait}.
   *
   * <p>The stage fails with {@link OffsetExpiredException} when the offset is no longer retained.
   */
  CompletionStage<LogPage> read(StreamName stream, long from, int max, Duration wait);
}

package io.hawthornlb.net.platform;

import io.hawthornlb.core.log.StreamName;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Client of the platform's append-only log. An append may take effect although the call fails. */
public interface LogClient {

  /**
   * Appends records in one call and returns the offset of the first record.
   *
   * <p>The stage fails with {@link LogUnavailableException} if there is no usable response. It is
   * then unknown whether the stream contains the records.
   */
  CompletionStage<Long> append(StreamName stream, List<byte[]> records);

  /**
   * Reads records starting at an offset, and waits at most {@code wait} for the first record.
   *
   * <p>The stage fails with {@link OffsetExpiredException} if the offset is no longer retained.
   */
  CompletionStage<LogPage> read(StreamName stream, long from, int max, Duration wait);
}

package io.hawthornlb.app.partition;

import io.hawthornlb.app.entry.DecisionLoop;
import io.hawthornlb.app.entry.LogAccess;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.net.platform.LogPage;
import io.hawthornlb.net.platform.StoredRecord;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/** Reads single records of the log. */
final class RecordReader {

  private final LogAccess log;
  private final DecisionLoop loop;

  RecordReader(LogAccess log, DecisionLoop loop) {
    this.log = log;
    this.loop = loop;
  }

  /**
   * Reads a record and passes it to {@code found} on the decision loop. Runs {@code missing}
   * instead if the read fails or the log no longer has the record.
   */
  void read(StreamName stream, long offset, Consumer<LogRecord> found, Runnable missing) {
    read(stream, offset)
        .whenComplete(
            (entry, failure) ->
                loop.execute(
                    () -> {
                      if (failure == null && entry.isPresent()) {
                        found.accept(entry.get());
                      } else {
                        missing.run();
                      }
                    }));
  }

  /** Returns the record at an offset, or empty if the log no longer has it. */
  CompletionStage<Optional<LogRecord>> read(StreamName stream, long offset) {
    return log.client()
        .read(stream, offset, 1, Duration.ZERO)
        .thenApply(page -> decoded(page, offset));
  }

  private Optional<LogRecord> decoded(LogPage page, long offset) {
    return page.records().stream()
        .filter(entry -> entry.offset() == offset)
        .findFirst()
        .map(this::decode);
  }

  private LogRecord decode(StoredRecord entry) {
    return log.codec().decode(entry);
  }
}

package io.hawthornlb.gateway.stream;

import java.util.Optional;
import java.util.function.Consumer;

/** Knows across the fleet where streams began that callers may resume. */
public interface StreamOrigins {

  /** Records where a stream began; called before its first event is sent to the caller. */
  void began(StreamId stream, StreamOrigin origin);

  /**
   * Finds where a stream began.
   *
   * @param receiver called once, at once or within a bounded time; empty if nobody who can be asked
   *     knows, so that the stream must not be continued
   */
  void find(StreamId stream, Consumer<Optional<StreamOrigin>> receiver);
}

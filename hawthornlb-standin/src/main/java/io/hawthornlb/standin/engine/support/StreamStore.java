package io.hawthornlb.standin.engine.support;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Stores streams by request id. Ended streams are kept for a limited time and up to a limited
 * number. Thread-safe.
 */
final class StreamStore {

  private final Duration keep;
  private final int maxKept;
  private final InstantSource clock;
  private final Map<String, TokenStream> streams = new HashMap<>();
  private final Deque<Ended> ended = new ArrayDeque<>();

  private record Ended(TokenStream stream, int run, Instant at) {}

  StreamStore(Duration keep, int maxKept, InstantSource clock) {
    this.keep = keep;
    this.maxKept = maxKept;
    this.clock = clock;
  }

  synchronized Optional<TokenStream> find(String id) {
    removeExpired();
    return Optional.ofNullable(streams.get(id));
  }

  /** Adds a stream unless a stream with the same id is running; returns whether it was added. */
  synchronized boolean add(TokenStream stream) {
    TokenStream previous = streams.get(stream.id());
    if (previous != null && previous.ending().isEmpty()) {
      return false;
    }
    streams.put(stream.id(), stream);
    return true;
  }

  /** Starts the retention time of an ended stream. */
  synchronized void ended(TokenStream stream) {
    ended.addLast(new Ended(stream, stream.run(), clock.instant()));
    removeExpired();
  }

  private void removeExpired() {
    Instant oldestKept = clock.instant().minus(keep);
    while (!ended.isEmpty()
        && (ended.size() > maxKept || ended.getFirst().at().isBefore(oldestKept))) {
      Ended oldest = ended.removeFirst();
      // A stream with another run number was resumed after this end. It is still running, or its
      // retention time started again at its next end.
      if (oldest.stream().run() == oldest.run()) {
        streams.remove(oldest.stream().id(), oldest.stream());
      }
    }
  }
}

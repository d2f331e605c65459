package io.hawthornlb.standin.engine.support;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Finds streams by request id; ended ones for a limited time. Safe for use by many threads. */
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
    dropOld();
    return Optional.ofNullable(streams.get(id));
  }

  /** Adds a stream unless one of the same id still runs; returns whether it was added. */
  synchronized boolean add(TokenStream stream) {
    TokenStream before = streams.get(stream.id());
    if (before != null && before.ending().isEmpty()) {
      return false;
    }
    streams.put(stream.id(), stream);
    return true;
  }

  /** Starts the time for which an ended stream is kept. */
  synchronized void ended(TokenStream stream) {
    ended.addLast(new Ended(stream, stream.run(), clock.instant()));
    dropOld();
  }

  private void dropOld() {
    Instant horizon = clock.instant().minus(keep);
    while (!ended.isEmpty()
        && (ended.size() > maxKept || ended.getFirst().at().isBefore(horizon))) {
      Ended oldest = ended.removeFirst();
      // A stream that was resumed since runs again, or has ended again and is kept from then.
      if (oldest.stream().run() == oldest.run()) {
        streams.remove(oldest.stream().id(), oldest.stream());
      }
    }
  }
}

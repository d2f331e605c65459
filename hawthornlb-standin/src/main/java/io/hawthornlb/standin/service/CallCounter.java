package io.hawthornlb.standin.service;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts how often each call ran, by its idempotency key. */
public final class CallCounter {

  private final int maxKeys;
  private final Map<String, AtomicLong> keyed = new ConcurrentHashMap<>();
  private final AtomicLong total = new AtomicLong();
  private final AtomicLong withoutKey = new AtomicLong();
  private final AtomicLong beyondLimit = new AtomicLong();

  /** Counts at most {@code maxKeys} keys apart. */
  public CallCounter(int maxKeys) {
    this.maxKeys = maxKeys;
  }

  /**
   * The counts of a moment.
   *
   * @param total all calls
   * @param withoutKey calls that had no key
   * @param beyondLimit calls whose key came after the highest number of keys
   * @param calls calls by key
   */
  public record Counts(long total, long withoutKey, long beyondLimit, Map<String, Long> calls) {}

  /** Counts a call and returns how often its key has now run; 1 for a call without a key. */
  public long count(String key) {
    total.incrementAndGet();
    if (key.isEmpty()) {
      withoutKey.incrementAndGet();
      return 1;
    }
    if (keyed.size() >= maxKeys && !keyed.containsKey(key)) {
      beyondLimit.incrementAndGet();
      return 1;
    }
    return keyed.computeIfAbsent(key, unused -> new AtomicLong()).incrementAndGet();
  }

  /** Returns the counts of this moment. */
  public Counts counts() {
    Map<String, Long> calls = new TreeMap<>();
    keyed.forEach((key, count) -> calls.put(key, count.get()));
    return new Counts(total.get(), withoutKey.get(), beyondLimit.get(), calls);
  }
}

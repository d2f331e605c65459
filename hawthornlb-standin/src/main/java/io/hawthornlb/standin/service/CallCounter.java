package io.hawthornlb.standin.service;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the executions of each call by its idempotency key. Thread-safe. */
public final class CallCounter {

  private final int maxKeys;
  private final Map<String, AtomicLong> keyed = new ConcurrentHashMap<>();
  private final AtomicLong total = new AtomicLong();
  private final AtomicLong withoutKey = new AtomicLong();
  private final AtomicLong beyondLimit = new AtomicLong();

  /** Creates a counter that counts at most {@code maxKeys} keys individually. */
  public CallCounter(int maxKeys) {
    this.maxKeys = maxKeys;
  }

  /**
   * A snapshot of the counts.
   *
   * @param total the number of all calls
   * @param withoutKey the number of calls without a key
   * @param beyondLimit the number of calls whose key arrived after the limit of keys was reached
   * @param calls the number of calls by key
   */
  public record Counts(long total, long withoutKey, long beyondLimit, Map<String, Long> calls) {}

  /**
   * Counts a call and returns the number of calls with its key so far, including this call. Returns
   * 1 for a call without a key and for a key beyond the limit.
   */
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

  /** Returns a snapshot of the counts. */
  public Counts counts() {
    Map<String, Long> calls = new TreeMap<>();
    keyed.forEach((key, count) -> calls.put(key, count.get()));
    return new Counts(total.get(), withoutKey.get(), beyondLimit.get(), calls);
  }
}

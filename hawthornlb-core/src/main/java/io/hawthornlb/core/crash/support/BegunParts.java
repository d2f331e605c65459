package io.hawthornlb.core.crash.support;

import io.hawthornlb.core.crash.PromptParts;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers on which parts answers have begun a short time ago. */
final class BegunParts {

  /**
   * Time for which a begun answer clears a part of crashes to come. Shared parts are asked for
   * several times a second; a part that a new version of the endpoints crashes on is suspected
   * after this time.
   */
  static final Duration MEMORY = Duration.ofSeconds(10);

  /** Maximum number of remembered parts. */
  private static final int MAX_REMEMBERED = 10_000;

  private final Map<String, Instant> begun =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Instant> eldest) {
          return size() > MAX_REMEMBERED;
        }
      };

  void add(PromptParts parts, Instant now) {
    for (String id : parts.ids()) {
      if (!PromptParts.isContent(id)) {
        begun.put(id, now);
      }
    }
  }

  boolean contains(String part, Instant now) {
    Instant last = begun.get(part);
    return last != null && now.isBefore(last.plus(MEMORY));
  }
}

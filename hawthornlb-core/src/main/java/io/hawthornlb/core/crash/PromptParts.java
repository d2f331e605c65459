package io.hawthornlb.core.crash;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What a request shares with other requests: the parts of its prompt but the last one, which is its
 * own, and the identity of its content, which it shares with its own repeats.
 *
 * @param ids ids of the parts, without duplicates
 */
public record PromptParts(Set<String> ids) {

  /** Parts of a request that shares nothing. */
  public static final PromptParts NONE = new PromptParts(Set.of());

  /** Maximum number of parts that are considered; prompts have two to five. */
  public static final int MAX_PARTS = 16;

  /** Maximum length of an id in characters. */
  public static final int MAX_ID_LENGTH = 64;

  /** Prefix of the identity of a request's content; no id of a part of a prompt begins so. */
  private static final String CONTENT_PREFIX = "#";

  /** Copies the ids. */
  public PromptParts {
    ids = Set.copyOf(ids);
  }

  /**
   * Returns the shared parts of a prompt. Ids that are empty or too long and parts beyond the
   * maximum number are left out.
   *
   * @param prompt ids of all parts in their order
   */
  public static PromptParts ofPrompt(List<String> prompt) {
    Set<String> shared = new LinkedHashSet<>();
    for (String id : prompt.subList(0, Math.max(0, prompt.size() - 1))) {
      boolean valid =
          !id.isEmpty() && id.length() <= MAX_ID_LENGTH && !id.startsWith(CONTENT_PREFIX);
      if (valid && shared.size() < MAX_PARTS) {
        shared.add(id);
      }
    }
    return new PromptParts(shared);
  }

  /**
   * Returns these parts with the identity of the request's content, by which a request that is sent
   * again is recognized.
   *
   * @param fingerprint hash of the content
   */
  public PromptParts withContent(long fingerprint) {
    Set<String> all = new LinkedHashSet<>(ids);
    all.add(CONTENT_PREFIX + Long.toHexString(fingerprint));
    return new PromptParts(all);
  }

  /** Returns these parts without the identity of the request's content. */
  public PromptParts withoutContent() {
    Set<String> shared = new LinkedHashSet<>(ids);
    shared.removeIf(PromptParts::isContent);
    return new PromptParts(shared);
  }

  /** Returns whether an id is the identity of a request's content. */
  public static boolean isContent(String id) {
    return id.startsWith(CONTENT_PREFIX);
  }
}

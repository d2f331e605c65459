package io.hawthornlb.standin.engine;

/**
 * Generates the text of an engine stand-in's answers. The text depends only on the messages of the
 * request, so a caller can verify that an answer is complete and belongs to its own request.
 */
public final class AnswerText {

  private static final String[] WORDS = {
    "bay", "north", "south", "sack", "crate", "cold", "warm", "steady", "door", "shift", "guest",
    "table", "uniform", "arrive", "leave", "check", "probe", "reading", "normal", "raised", "lower",
    "hall", "lamp", "water", "bus", "list", "name", "early", "late", "first", "second", "third"
  };
  private static final int MIN_TOKENS = 16;
  private static final int LENGTH_RANGE = 112;
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private AnswerText() {}

  /**
   * Returns the hash from which an engine of a software version generates its text. Engines of two
   * versions generate different texts for one prompt.
   *
   * @param version software version; empty for the text that the load tool expects
   */
  public static String hash(String promptHash, String version) {
    return version.isEmpty()
        ? promptHash
        : String.format("%016x", seed(promptHash) ^ (version.hashCode() * GOLDEN_GAMMA));
  }

  /** Returns the token at an index: the prompt hash at index 0, then words chosen by the hash. */
  public static String token(String promptHash, int index) {
    if (index == 0) {
      return "[" + promptHash + "]";
    }
    long mixed = (seed(promptHash) + index * GOLDEN_GAMMA) * GOLDEN_GAMMA;
    int word = (int) Long.remainderUnsigned(mixed >>> 32, WORDS.length);
    return " " + index + ":" + WORDS[word];
  }

  /** Returns the complete text of an answer that has the given number of tokens. */
  public static String whole(String promptHash, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < tokens; index++) {
      text.append(token(promptHash, index));
    }
    return text.toString();
  }

  /** Returns the number of tokens in the answer to a request without {@code max_tokens}. */
  public static int defaultLength(String promptHash) {
    return MIN_TOKENS + (int) Long.remainderUnsigned(seed(promptHash), LENGTH_RANGE);
  }

  private static long seed(String promptHash) {
    return Long.parseUnsignedLong(promptHash, 16);
  }
}

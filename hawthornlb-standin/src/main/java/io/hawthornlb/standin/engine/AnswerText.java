package io.hawthornlb.standin.engine;

/**
 * The text that an engine stand-in writes: it follows from the messages alone, so that a caller can
 * tell whether an answer is whole and its own.
 */
public final class AnswerText {

  private static final String[] WORDS = {
    "bay", "north", "south", "sack", "crate", "cold", "warm", "steady", "door", "shift", "guest",
    "table", "uniform", "arrive", "leave", "check", "probe", "reading", "normal", "raised", "lower",
    "hall", "lamp", "water", "bus", "list", "name", "early", "late", "first", "second", "third"
  };
  private static final int SHORTEST = 16;
  private static final int LENGTHS = 112;
  private static final long MIX = 0x9E3779B97F4A7C15L;

  private AnswerText() {}

  /** Returns the token at an index: the prompt's hash at 0, then words that the hash picks. */
  public static String token(String promptHash, int index) {
    if (index == 0) {
      return "[" + promptHash + "]";
    }
    long mixed = (seed(promptHash) + index * MIX) * MIX;
    int word = (int) Long.remainderUnsigned(mixed >>> 32, WORDS.length);
    return " " + index + ":" + WORDS[word];
  }

  /** Returns the whole text of an answer with this number of tokens. */
  public static String whole(String promptHash, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < tokens; index++) {
      text.append(token(promptHash, index));
    }
    return text.toString();
  }

  /** Returns how many tokens the answer has when the caller sets no limit. */
  public static int naturalLength(String promptHash) {
    return SHORTEST + (int) Long.remainderUnsigned(seed(promptHash), LENGTHS);
  }

  private static long seed(String promptHash) {
    return Long.parseUnsignedLong(promptHash, 16);
  }
}

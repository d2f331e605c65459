package io.hawthornlb.standin.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The prompt of a request: the hash and token count of its messages and of their prefixes.
 *
 * @param hash the hash over all messages; the answer starts with this hash
 * @param tokens the number of tokens in all messages
 * @param prefixes the prefixes that end at a message boundary, shortest first, without the complete
 *     prompt
 */
public record Prompt(String hash, int tokens, List<Prefix> prefixes) {

  private static final int HASH_LENGTH = 16;
  private static final int CHARACTERS_PER_TOKEN = 4;

  /** The hash and the token count of the first messages of a prompt. */
  public record Prefix(String hash, int tokens) {}

  /** Creates a prompt with an immutable copy of the prefixes. */
  public Prompt {
    prefixes = List.copyOf(prefixes);
  }

  /**
   * Creates a prompt from messages. A message counts as one token plus one token for every four
   * characters of its content.
   */
  public static Prompt of(List<ChatMessage> messages) {
    MessageDigest digest = sha256();
    List<Prefix> prefixes = new ArrayList<>();
    int tokens = 0;
    for (ChatMessage message : messages) {
      digest.update(
          (message.role() + "\n" + message.content() + "\n").getBytes(StandardCharsets.UTF_8));
      tokens += 1 + message.content().length() / CHARACTERS_PER_TOKEN;
      prefixes.add(new Prefix(hashSoFar(digest), tokens));
    }
    if (prefixes.isEmpty()) {
      return new Prompt(hashSoFar(digest), 0, List.of());
    }
    Prefix whole = prefixes.remove(prefixes.size() - 1);
    return new Prompt(whole.hash(), whole.tokens(), prefixes);
  }

  private static String hashSoFar(MessageDigest digest) {
    try {
      MessageDigest copy = (MessageDigest) digest.clone();
      return HexFormat.of().formatHex(copy.digest()).substring(0, HASH_LENGTH);
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException(
          "the SHA-256 implementation of this Java runtime cannot be cloned", e);
    }
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime does not support SHA-256", e);
    }
  }
}

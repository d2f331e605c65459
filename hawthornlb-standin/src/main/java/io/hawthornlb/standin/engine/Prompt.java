package io.hawthornlb.standin.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * What an engine reads before it writes: the messages with their sizes and prefix hashes.
 *
 * @param hash the hash over all messages, which the answer begins with
 * @param tokens tokens of all messages
 * @param prefixes the prefixes that end with a message, shortest first, without the whole
 */
public record Prompt(String hash, int tokens, List<Prefix> prefixes) {

  private static final int HASH_LENGTH = 16;
  private static final int CHARACTERS_PER_TOKEN = 4;

  /** A part of a prompt from its start, with the tokens in it. */
  public record Prefix(String hash, int tokens) {}

  /** Copies the prefixes. */
  public Prompt {
    prefixes = List.copyOf(prefixes);
  }

  /** Reads messages; each four characters of a message count as a token, and each has one more. */
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
      throw new IllegalStateException("this Java cannot copy a SHA-256", e);
    }
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java lacks SHA-256", e);
    }
  }
}

package io.hawthornlb.gateway.crash;

import io.hawthornlb.core.crash.EndpointCrash;
import io.hawthornlb.core.crash.PartEvidence;
import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.gateway.decode.MessageReader;
import io.hawthornlb.gateway.decode.UnreadableException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Encodes and decodes what speaks against a part as MessagePack. */
public final class EvidenceCodec {

  /** Version of the encoding. */
  private static final int FORMAT = 1;

  /** Latest time that a record may contain; leaves room for the sums of times and pauses. */
  private static final long MAX_MILLIS = Duration.ofDays(365_000).toMillis();

  private static final int MAX_PROBES = 1_000;

  private EvidenceCodec() {}

  /** Encodes evidence. */
  public static byte[] encode(PartEvidence evidence) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT);
      packer.packLong(evidence.tried().toEpochMilli()).packLong(evidence.seen().toEpochMilli());
      packer.packInt(evidence.probes()).packArrayHeader(evidence.crashes().size());
      for (String crash : evidence.crashes()) {
        packer.packString(crash);
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("writing to an in-memory buffer failed", e);
    }
  }

  /**
   * Decodes evidence.
   *
   * @throws UnreadableException if the bytes are no valid evidence
   */
  public static PartEvidence decode(byte[] bytes) {
    return MessageReader.read("evidence", bytes, EvidenceCodec::read);
  }

  private static PartEvidence read(MessageReader reader) throws IOException {
    if (reader.number() != FORMAT) {
      throw new UnreadableException("format", "unknown");
    }
    Instant tried = Instant.ofEpochMilli(reader.number("tried", 0L, MAX_MILLIS));
    Instant seen = Instant.ofEpochMilli(reader.number("seen", 0L, MAX_MILLIS));
    int probes = reader.number("probes", 0, MAX_PROBES);
    Set<String> crashes = new HashSet<>();
    int count = reader.listSize();
    for (int i = 0; i < count; i++) {
      crashes.add(text("crash", reader.text(), EndpointCrash.MAX_ID_LENGTH));
    }
    return new PartEvidence(crashes, tried, seen, probes);
  }

  /**
   * Returns the id of a part that another instance has sent.
   *
   * @throws UnreadableException if no instance sends such an id
   */
  public static String part(String id) {
    return text("part", id, PromptParts.MAX_ID_LENGTH);
  }

  private static String text(String place, String text, int maxLength) {
    if (text.isEmpty() || text.length() > maxLength) {
      throw new UnreadableException(place, "not of 1 to " + maxLength + " characters");
    }
    return text;
  }
}

package io.hawthornlb.gateway.learned;

import io.hawthornlb.core.learned.IncarnationPace;
import io.hawthornlb.core.learned.LearnedState;
import io.hawthornlb.core.learned.LoadCycle;
import io.hawthornlb.core.learned.TokenTimes;
import io.hawthornlb.core.util.Checks;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.decode.MessageReader;
import io.hawthornlb.gateway.decode.UnreadableException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Encodes and decodes snapshots as MessagePack. Fractions are encoded in thousandths, and times per
 * token in nanoseconds. The version is not part of the bytes.
 */
public final class LearnedStateCodec {

  /** Maximum size of a snapshot. */
  public static final int MAX_BYTES = 8_192;

  /** Version of the encoding. A decoder ignores fields after those that it knows. */
  private static final int FORMAT = 1;

  private static final long ABSENT = -1;
  private static final double THOUSAND = 1_000;

  /** Bounds of a pace factor in thousandths. */
  private static final int MIN_FACTOR = 200;

  private static final int MAX_FACTOR = 10_000;

  /** Longest time per token that is accepted, far above that of the slowest model. */
  private static final Duration MAX_TOKEN_TIME = Duration.ofSeconds(10);

  /** Longest phase of a load cycle that is accepted. */
  private static final Duration MAX_PHASE = Duration.ofHours(1);

  /** Largest level of demand that is accepted, in thousandths of a slot. */
  private static final long MAX_LEVEL = 1_000_000_000;

  /** Size of the longest header of a list, which precedes the paces. */
  private static final int LIST_HEADER_BYTES = 5;

  private LearnedStateCodec() {}

  /** Packs the fields of a byte array. */
  private interface Fields {

    void pack() throws IOException;
  }

  /**
   * Encodes a snapshot in at most {@link #MAX_BYTES}. If it does not fit, endpoints whose pace is
   * closest to the usual one are left out.
   */
  public static byte[] encode(LearnedState state) {
    return split(state, MAX_BYTES).get(0);
  }

  /**
   * Encodes a snapshot as parts that can be decoded on their own: each contains the figures of the
   * service, and the paces of some endpoints. An endpoint that fits in no part is left out.
   *
   * @param maxBytes maximum size of a part
   */
  public static List<byte[]> split(LearnedState state, int maxBytes) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      return split(packer, state, maxBytes);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to an in-memory buffer failed", e);
    }
  }

  private static List<byte[]> split(MessageBufferPacker packer, LearnedState state, int maxBytes)
      throws IOException {
    byte[] service = packed(packer, () -> packService(packer, state));
    List<byte[]> parts = new ArrayList<>();
    List<byte[]> paces = new ArrayList<>();
    int free = maxBytes - service.length - LIST_HEADER_BYTES;
    int left = free;
    int snapshotFree = MAX_BYTES - service.length - LIST_HEADER_BYTES;
    for (byte[] pace : encodedPaces(packer, state, snapshotFree)) {
      if (pace.length > free) {
        continue;
      }
      if (pace.length > left) {
        parts.add(part(packer, service, paces));
        paces.clear();
        left = free;
      }
      paces.add(pace);
      left -= pace.length;
    }
    parts.add(part(packer, service, paces));
    return parts;
  }

  /**
   * Decodes a snapshot.
   *
   * @throws UnreadableException if the bytes are no valid snapshot
   */
  public static LearnedState decode(long version, byte[] bytes) {
    if (bytes.length > MAX_BYTES) {
      throw new UnreadableException("learned", "longer than " + MAX_BYTES + " bytes");
    }
    return MessageReader.read("learned", bytes, reader -> unpack(version, reader));
  }

  /** Returns the encoded paces that fit in a snapshot. */
  private static List<byte[]> encodedPaces(
      MessageBufferPacker packer, LearnedState state, int maxBytes) throws IOException {
    List<Map.Entry<String, IncarnationPace>> entries = new ArrayList<>(state.paces().entrySet());
    entries.removeIf(entry -> !(entry.getValue().factor() > 0));
    entries.sort(
        Comparator.comparingDouble(entry -> -Math.abs(Math.log(entry.getValue().factor()))));
    List<byte[]> paces = new ArrayList<>();
    int left = maxBytes;
    for (Map.Entry<String, IncarnationPace> entry : entries) {
      byte[] pace = packed(packer, () -> packPace(packer, entry.getKey(), entry.getValue()));
      if (pace.length <= left) {
        paces.add(pace);
        left -= pace.length;
      }
    }
    return paces;
  }

  private static byte[] part(MessageBufferPacker packer, byte[] service, List<byte[]> paces)
      throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(service);
    out.writeBytes(packed(packer, () -> packer.packArrayHeader(paces.size())));
    paces.forEach(out::writeBytes);
    return out.toByteArray();
  }

  private static byte[] packed(MessageBufferPacker packer, Fields fields) throws IOException {
    packer.clear();
    fields.pack();
    return packer.toByteArray();
  }

  private static void packService(MessageBufferPacker packer, LearnedState state)
      throws IOException {
    packer.packInt(FORMAT);
    TokenTimes times = state.tokenTimes();
    packer.packLong(times == null ? ABSENT : bounded(times.perPromptToken(), MAX_TOKEN_TIME));
    packer.packLong(times == null ? ABSENT : bounded(times.perOutputToken(), MAX_TOKEN_TIME));
    packer.packInt(
        Math.min(Math.max(state.usualOutputTokens(), LearnedState.UNKNOWN), WorkSize.MAX_TOKENS));
    LoadCycle cycle = state.loadCycle();
    packer.packLong(cycle == null ? ABSENT : level(cycle.troughSlots()));
    packer.packLong(cycle == null ? ABSENT : level(cycle.peakSlots()));
    packer.packLong(cycle == null ? ABSENT : bounded(cycle.troughLength(), MAX_PHASE) / 1_000_000);
    packer.packLong(cycle == null ? ABSENT : bounded(cycle.peakLength(), MAX_PHASE) / 1_000_000);
  }

  private static void packPace(MessageBufferPacker packer, String endpoint, IncarnationPace pace)
      throws IOException {
    long factor = Math.round(pace.factor() * THOUSAND);
    packer.packString(endpoint).packLong(pace.born());
    packer.packLong(Math.min(Math.max(factor, MIN_FACTOR), MAX_FACTOR));
  }

  private static long bounded(Duration time, Duration max) {
    return Math.max(0, time.compareTo(max) > 0 ? max.toNanos() : time.toNanos());
  }

  private static long level(double slots) {
    return Math.min(Math.max(Math.round(slots * THOUSAND), 0), MAX_LEVEL);
  }

  private static LearnedState unpack(long version, MessageReader reader) throws IOException {
    if (reader.number() != FORMAT) {
      throw new UnreadableException("format", "unknown");
    }
    LearnedState.Builder state = LearnedState.builder().version(version);
    long prompt = reader.number("perPromptToken", ABSENT, MAX_TOKEN_TIME.toNanos());
    long output = reader.number("perOutputToken", ABSENT, MAX_TOKEN_TIME.toNanos());
    if (prompt != ABSENT && output != ABSENT) {
      state.tokenTimes(new TokenTimes(Duration.ofNanos(prompt), Duration.ofNanos(output)));
    }
    state.usualOutputTokens(
        reader.number("outputTokens", LearnedState.UNKNOWN, WorkSize.MAX_TOKENS));
    state.loadCycle(unpackCycle(reader));
    int paces = reader.listSize();
    for (int i = 0; i < paces; i++) {
      String endpoint = Checks.hasText(reader.text(), "endpoint");
      long born = reader.number();
      int factor = reader.number("factor", MIN_FACTOR, MAX_FACTOR);
      state.pace(endpoint, new IncarnationPace(born, factor / THOUSAND));
    }
    return state.build();
  }

  private static @Nullable LoadCycle unpackCycle(MessageReader reader) throws IOException {
    long trough = reader.number("trough", ABSENT, MAX_LEVEL);
    long peak = reader.number("peak", ABSENT, MAX_LEVEL);
    long troughMillis = reader.number("troughLength", ABSENT, MAX_PHASE.toMillis());
    long peakMillis = reader.number("peakLength", ABSENT, MAX_PHASE.toMillis());
    if (Math.min(Math.min(trough, peak), Math.min(troughMillis, peakMillis)) == ABSENT) {
      return null;
    }
    return new LoadCycle(
        trough / THOUSAND,
        peak / THOUSAND,
        Duration.ofMillis(troughMillis),
        Duration.ofMillis(peakMillis));
  }
}

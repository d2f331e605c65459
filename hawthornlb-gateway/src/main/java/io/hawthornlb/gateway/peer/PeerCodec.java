package io.hawthornlb.gateway.peer;

import io.hawthornlb.core.crash.PartEvidence;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.crash.EvidenceCodec;
import io.hawthornlb.gateway.crash.PartUpdate;
import io.hawthornlb.gateway.decode.MessageReader;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.slot.RefusalCause;
import io.hawthornlb.gateway.slot.RefusalReason;
import io.hawthornlb.gateway.slot.SizeClass;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.stream.StreamOrigin;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;

/** Encodes and decodes datagrams as MessagePack. */
public final class PeerCodec {

  private static final int ASK = 1;
  private static final int GRANTED = 2;
  private static final int WAITING = 3;
  private static final int REFUSED = 4;
  private static final int REVOKED = 5;
  private static final int RELEASE = 6;
  private static final int RENEW = 7;
  private static final int SUSPECT = 8;
  private static final int HELD = 9;
  private static final int TOLD = 10;
  private static final int BARRED = 11;
  private static final int OVER_LIMIT = 12;
  private static final int ALLOWED = 13;
  private static final int PING = 14;
  private static final int PONG = 15;
  private static final int LEARNED = 16;
  private static final int BEGAN = 17;
  private static final int FIND_ORIGIN = 18;
  private static final int ORIGIN = 19;
  private static final int PARTS = 20;

  /**
   * Longest duration that a message may contain; batch items wait for minutes at most. A longer
   * duration could overflow when it is added to an instant.
   */
  private static final Duration MAX_TIME = Duration.ofHours(6);

  /**
   * Largest count of slots, uses or requests that a message may contain, far above those of the
   * largest fleet.
   */
  private static final int MAX_COUNT = 1_000_000;

  /**
   * Stands for the workspace of an anonymous caller where further fields follow; no configuration
   * allows this name.
   */
  private static final String NO_WORKSPACE = "\0";

  private PeerCodec() {}

  /**
   * A datagram.
   *
   * @param sender name of the process that sent it
   * @param message content
   */
  public record Envelope(String sender, PeerMessage message) {}

  /** Encodes a datagram. */
  public static byte[] encode(Envelope envelope) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(envelope.sender());
      pack(packer, envelope.message());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("writing to an in-memory buffer failed", e);
    }
  }

  /**
   * Decodes a datagram.
   *
   * @throws UnreadableException if the bytes are no valid peer message
   */
  public static Envelope decode(byte[] bytes) {
    return MessageReader.read(
        "datagram", bytes, reader -> new Envelope(reader.text(), unpack(reader)));
  }

  private static void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.Ask ask) {
      packRequest(packer.packInt(ASK), ask.request());
    } else if (message instanceof PeerMessage.Answer answer) {
      packAnswer(packer, answer.answer());
    } else if (message instanceof PeerMessage.Release release) {
      packKey(packer.packInt(RELEASE), release.key());
      packer.packString(release.service()).packInt(release.outcome().ordinal());
    } else if (message instanceof PeerMessage.Suspect suspect) {
      packKey(packer.packInt(SUSPECT), suspect.key());
      packer.packString(suspect.service());
    } else if (message instanceof PeerMessage.Told told) {
      packKey(packer.packInt(TOLD), told.key());
      packer.packString(told.service());
      packer.packInt(told.load().running()).packInt(told.load().waiting());
      if (told.load().hasPace()) {
        packer.packInt(told.load().pacePercent());
      }
    } else if (message instanceof PeerMessage.Held held) {
      packer.packInt(HELD).packInt(held.partition()).packLong(held.epoch());
    } else if (message instanceof PeerMessage.Barred barred) {
      packer.packInt(BARRED).packString(barred.service()).packLong(barred.fingerprint());
    } else if (message instanceof PeerMessage.Allowed allowed) {
      packAllowed(packer.packInt(ALLOWED), allowed);
    } else if (message instanceof PeerMessage.Ping) {
      packer.packInt(PING);
    } else if (message instanceof PeerMessage.Pong) {
      packer.packInt(PONG);
    } else if (message instanceof PeerMessage.Learned learned) {
      packLearned(packer.packInt(LEARNED), learned);
    } else if (message instanceof PeerMessage.Began began) {
      packStream(packer.packInt(BEGAN), began.stream());
      packOrigin(packer, began.origin());
    } else if (message instanceof PeerMessage.FindOrigin asked) {
      packStream(packer.packInt(FIND_ORIGIN), asked.stream());
    } else if (message instanceof PeerMessage.Origin answer) {
      packStream(packer.packInt(ORIGIN), answer.stream());
      packer.packBoolean(answer.known());
      if (answer.origin() != null) {
        packOrigin(packer, answer.origin());
      }
    } else if (message instanceof PeerMessage.Parts parts) {
      packParts(packer.packInt(PARTS), parts);
    } else if (message instanceof PeerMessage.Renew renew) {
      packRenew(packer.packInt(RENEW), renew);
    }
  }

  private static void packParts(MessagePacker packer, PeerMessage.Parts parts) throws IOException {
    packer.packArrayHeader(parts.updates().size());
    for (PartUpdate update : parts.updates()) {
      PartEvidence evidence = update.evidence();
      packer.packString(update.part()).packBoolean(evidence != null);
      if (evidence != null) {
        byte[] encoded = EvidenceCodec.encode(evidence);
        packer.packBinaryHeader(encoded.length).writePayload(encoded);
      }
    }
  }

  private static PeerMessage unpackParts(MessageReader reader) throws IOException {
    List<PartUpdate> updates = new ArrayList<>();
    int size = reader.listSize();
    for (int i = 0; i < size; i++) {
      String part = EvidenceCodec.part(reader.text());
      updates.add(
          new PartUpdate(part, reader.flag() ? EvidenceCodec.decode(reader.bytes()) : null));
    }
    return new PeerMessage.Parts(updates);
  }

  private static void packRequest(MessagePacker packer, SlotRequest request) throws IOException {
    packKey(packer, request.key());
    packer.packString(request.service()).packBoolean(request.batch()).packLong(request.rank());
    packer.packLong(request.work().toMillis());
    packer.packString(request.dataCentre()).packLong(request.maxWait().toMillis());
    packer.packLong(request.patience().toMillis());
    packer.packLong(request.fingerprint());
    packer.packArrayHeader(request.excluded().size());
    for (EndpointIncarnation incarnation : request.excluded()) {
      packIncarnation(packer, incarnation);
    }
    WorkspaceId workspace = request.workspace();
    WorkSize size = request.size();
    String version = request.version();
    if (workspace != null) {
      packer.packString(workspace.value()).packBoolean(request.charged());
    } else if (size.isStated() || version != null) {
      packer.packString(NO_WORKSPACE).packBoolean(false);
    }
    if (size.isStated() || version != null) {
      packer.packInt(size.promptTokens()).packInt(size.maxOutputTokens());
      packer.packInt(size.hintedOutputTokens());
    }
    if (version != null) {
      packer.packString(version);
    }
  }

  private static void packStream(MessagePacker packer, StreamId stream) throws IOException {
    packer.packLong(stream.high()).packLong(stream.low());
  }

  private static void packOrigin(MessagePacker packer, StreamOrigin origin) throws IOException {
    packer.packString(origin.service()).packString(origin.version());
  }

  private static void packAllowed(MessagePacker packer, PeerMessage.Allowed allowed)
      throws IOException {
    packer.packMapHeader(allowed.counts().size());
    for (Map.Entry<WorkspaceId, Integer> count : allowed.counts().entrySet()) {
      packer.packString(count.getKey().value()).packInt(count.getValue());
    }
  }

  private static void packLearned(MessagePacker packer, PeerMessage.Learned learned)
      throws IOException {
    packer.packString(learned.service()).packLong(learned.version());
    packer.packLong(learned.age().toMillis());
    packer.packBinaryHeader(learned.state().length).writePayload(learned.state());
  }

  private static void packAnswer(MessageBufferPacker packer, SlotAnswer answer) throws IOException {
    if (answer instanceof SlotAnswer.Granted granted) {
      packKey(packer.packInt(GRANTED), answer.key());
      packIncarnation(packer, granted.incarnation());
    } else if (answer instanceof SlotAnswer.Waiting waiting) {
      packKey(packer.packInt(WAITING), answer.key());
      packer.packLong(waiting.atMost().toMillis());
    } else if (answer instanceof SlotAnswer.Refused refused) {
      packKey(packer.packInt(REFUSED), answer.key());
      packer.packLong(refused.retryAfter().toMillis());
      SlotAnswer.Load seen = refused.seen();
      packer.packInt(seen.slots()).packInt(seen.used()).packInt(seen.waiting());
      packReason(packer, refused.reason());
    } else if (answer instanceof SlotAnswer.OverLimit over) {
      packKey(packer.packInt(OVER_LIMIT), answer.key());
      packer.packLong(over.retryAfter().toMillis());
    } else {
      packKey(packer.packInt(REVOKED), answer.key());
    }
  }

  /** Appends the reason of a refusal; without one the datagram is that of former versions. */
  private static void packReason(MessagePacker packer, RefusalReason reason) throws IOException {
    if (reason.isKnown()) {
      packer.packInt(reason.cause().ordinal()).packInt(reason.size().ordinal());
      packer.packLong(Math.min(reason.workAhead().toMillis(), MAX_TIME.toMillis()));
    }
  }

  private static void packRenew(MessagePacker packer, PeerMessage.Renew renew) throws IOException {
    packer.packString(renew.service()).packString(renew.holder());
    packer.packArrayHeader(renew.uses().size());
    for (SlotUse use : renew.uses()) {
      packIncarnation(packer.packLong(use.number()), use.incarnation());
      packer.packBoolean(use.batch()).packLong(use.rank()).packLong(use.work().toMillis());
    }
  }

  private static void packKey(MessagePacker packer, SlotKey key) throws IOException {
    packer.packString(key.holder()).packLong(key.number());
  }

  private static void packIncarnation(MessagePacker packer, EndpointIncarnation incarnation)
      throws IOException {
    packer.packString(incarnation.id()).packLong(incarnation.born());
  }

  private static PeerMessage unpack(MessageReader reader) throws IOException {
    int type = reader.number("type", ASK, PARTS);
    return switch (type) {
      case ASK -> new PeerMessage.Ask(unpackRequest(reader));
      case GRANTED ->
          new PeerMessage.Answer(
              new SlotAnswer.Granted(unpackKey(reader), unpackIncarnation(reader)));
      case WAITING ->
          new PeerMessage.Answer(
              new SlotAnswer.Waiting(unpackKey(reader), reader.millis("atMost", MAX_TIME)));
      case REFUSED -> new PeerMessage.Answer(unpackRefused(reader));
      case REVOKED -> new PeerMessage.Answer(new SlotAnswer.Revoked(unpackKey(reader)));
      case RELEASE -> unpackRelease(reader);
      case RENEW -> unpackRenew(reader);
      case SUSPECT -> unpackSuspect(reader);
      case TOLD -> unpackTold(reader);
      case BARRED -> new PeerMessage.Barred(reader.text(), reader.number());
      case OVER_LIMIT ->
          new PeerMessage.Answer(
              new SlotAnswer.OverLimit(unpackKey(reader), reader.millis("retryAfter", MAX_TIME)));
      case ALLOWED -> unpackAllowed(reader);
      case PING -> new PeerMessage.Ping();
      case PONG -> new PeerMessage.Pong();
      case LEARNED ->
          new PeerMessage.Learned(
              reader.text(),
              reader.number("version", 0L, Long.MAX_VALUE),
              reader.millis("age", MAX_TIME),
              reader.bytes());
      case BEGAN -> new PeerMessage.Began(unpackStream(reader), unpackOrigin(reader));
      case FIND_ORIGIN -> new PeerMessage.FindOrigin(unpackStream(reader));
      case ORIGIN ->
          new PeerMessage.Origin(
              unpackStream(reader), reader.flag(), reader.hasMore() ? unpackOrigin(reader) : null);
      case PARTS -> unpackParts(reader);
      case HELD ->
          new PeerMessage.Held(
              reader.number("partition", 0, Integer.MAX_VALUE),
              reader.number("epoch", 0L, Long.MAX_VALUE));
      default -> throw new UnreadableException("type", "unknown");
    };
  }

  private static SlotAnswer unpackRefused(MessageReader reader) throws IOException {
    SlotKey key = unpackKey(reader);
    Duration retryAfter = reader.millis("retryAfter", MAX_TIME);
    // A count of -1 means that load was not the reason for the refusal.
    SlotAnswer.Load seen =
        new SlotAnswer.Load(
            reader.number("slots", -1, MAX_COUNT),
            reader.number("used", -1, MAX_COUNT),
            reader.number("waiting", -1, MAX_COUNT));
    RefusalReason reason = reader.hasMore() ? unpackReason(reader) : RefusalReason.UNKNOWN;
    return new SlotAnswer.Refused(key, retryAfter, seen, reason);
  }

  private static RefusalReason unpackReason(MessageReader reader) throws IOException {
    // A later version may know further causes; a refusal is understood without them.
    int cause = reader.number("cause", 0, MAX_COUNT);
    RefusalCause[] causes = RefusalCause.values();
    SizeClass[] sizes = SizeClass.values();
    SizeClass size = sizes[reader.number("size", 0, sizes.length - 1)];
    Duration workAhead = reader.millis("workAhead", MAX_TIME);
    return cause < causes.length
        ? new RefusalReason(causes[cause], size, workAhead)
        : RefusalReason.UNKNOWN;
  }

  private static PeerMessage unpackRelease(MessageReader reader) throws IOException {
    SlotKey key = unpackKey(reader);
    String service = reader.text();
    SlotOutcome[] outcomes = SlotOutcome.values();
    SlotOutcome outcome = outcomes[reader.number("outcome", 0, outcomes.length - 1)];
    return new PeerMessage.Release(service, key, outcome);
  }

  private static PeerMessage unpackTold(MessageReader reader) throws IOException {
    SlotKey key = unpackKey(reader);
    String service = reader.text();
    int running = reader.number("running", 0, MAX_COUNT);
    int waiting = reader.number("waiting", 0, MAX_COUNT);
    int pace =
        reader.hasMore()
            ? reader.number("pace", ReportedLoad.MIN_PACE, ReportedLoad.MAX_PACE)
            : ReportedLoad.UNKNOWN_PACE;
    return new PeerMessage.Told(service, key, new ReportedLoad(running, waiting, pace));
  }

  private static PeerMessage unpackSuspect(MessageReader reader) throws IOException {
    SlotKey key = unpackKey(reader);
    return new PeerMessage.Suspect(reader.text(), key);
  }

  private static SlotRequest unpackRequest(MessageReader reader) throws IOException {
    SlotKey key = unpackKey(reader);
    String service = reader.text();
    boolean batch = reader.flag();
    long rank = reader.number();
    Duration work = reader.millis("work", MAX_TIME);
    String dataCentre = reader.text();
    Duration maxWait = reader.millis("maxWait", MAX_TIME);
    Duration patience = reader.millis("patience", MAX_TIME);
    long fingerprint = reader.number();
    Set<EndpointIncarnation> excluded = new HashSet<>();
    int excludedCount = reader.listSize();
    for (int i = 0; i < excludedCount; i++) {
      excluded.add(unpackIncarnation(reader));
    }
    // Requests of anonymous callers, and those of former versions, end with the excluded endpoints;
    // those that state no size end with the workspace; those of any version end with the size.
    String workspace = reader.hasMore() ? reader.text() : NO_WORKSPACE;
    boolean anonymous = workspace.equals(NO_WORKSPACE);
    boolean charged = reader.hasMore() && reader.flag();
    WorkSize size = reader.hasMore() ? unpackSize(reader) : WorkSize.NONE;
    String version = reader.hasMore() ? reader.text() : null;
    return SlotRequest.builder(key, service)
        .batch(batch)
        .rank(rank)
        .work(work)
        .dataCentre(dataCentre)
        .maxWait(maxWait)
        .patience(patience)
        .fingerprint(fingerprint)
        .excluded(excluded)
        .workspace(anonymous ? null : new WorkspaceId(workspace))
        .charged(charged && !anonymous)
        .size(size)
        .version(version)
        .build();
  }

  private static StreamId unpackStream(MessageReader reader) throws IOException {
    return new StreamId(reader.number(), reader.number());
  }

  private static StreamOrigin unpackOrigin(MessageReader reader) throws IOException {
    return new StreamOrigin(reader.text(), reader.text());
  }

  private static WorkSize unpackSize(MessageReader reader) throws IOException {
    int promptTokens = unpackTokens(reader);
    int maxOutputTokens = unpackTokens(reader);
    return new WorkSize(promptTokens, maxOutputTokens, unpackTokens(reader));
  }

  private static int unpackTokens(MessageReader reader) throws IOException {
    return reader.number("tokens", WorkSize.UNKNOWN, WorkSize.MAX_TOKENS);
  }

  private static PeerMessage unpackAllowed(MessageReader reader) throws IOException {
    Map<WorkspaceId, Integer> counts = new HashMap<>();
    int size = reader.mapSize();
    for (int i = 0; i < size; i++) {
      WorkspaceId workspace = new WorkspaceId(reader.text());
      counts.put(workspace, reader.number("count", -MAX_COUNT, MAX_COUNT));
    }
    return new PeerMessage.Allowed(counts);
  }

  private static PeerMessage unpackRenew(MessageReader reader) throws IOException {
    String service = reader.text();
    String holder = reader.text();
    List<SlotUse> uses = new ArrayList<>();
    int size = reader.listSize();
    for (int i = 0; i < size; i++) {
      long number = reader.number();
      EndpointIncarnation incarnation = unpackIncarnation(reader);
      boolean batch = reader.flag();
      long rank = reader.number();
      uses.add(new SlotUse(number, incarnation, batch, rank, reader.millis("work", MAX_TIME)));
    }
    return new PeerMessage.Renew(service, holder, uses);
  }

  private static EndpointIncarnation unpackIncarnation(MessageReader reader) throws IOException {
    return new EndpointIncarnation(reader.text(), reader.number());
  }

  private static SlotKey unpackKey(MessageReader reader) throws IOException {
    return new SlotKey(reader.text(), reader.number());
  }
}

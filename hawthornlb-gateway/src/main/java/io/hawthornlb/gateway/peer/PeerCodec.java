package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.endpoint.EndpointLife;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import io.hawthornlb.gateway.wire.ToldLoad;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads datagrams as MessagePack. */
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

  private PeerCodec() {}

  /**
   * A datagram.
   *
   * @param sender name of the process that sent it
   * @param message content
   */
  public record Envelope(String sender, PeerMessage message) {}

  /** Returns the bytes of a datagram. */
  public static byte[] encode(Envelope envelope) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(envelope.sender());
      pack(packer, envelope.message());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  /**
   * Returns what a datagram holds.
   *
   * @throws UncheckedIOException if it is none of ours
   */
  public static Envelope decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return new Envelope(unpacker.unpackString(), unpack(unpacker));
    } catch (MessagePackException e) {
      throw new UncheckedIOException("Not a message between gateways", new IOException(e));
    } catch (IOException e) {
      throw new UncheckedIOException("Not a message between gateways", e);
    }
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
    } else if (message instanceof PeerMessage.Held held) {
      packer.packInt(HELD).packInt(held.partition()).packLong(held.epoch());
    } else if (message instanceof PeerMessage.Barred barred) {
      packer.packInt(BARRED).packString(barred.service()).packLong(barred.fingerprint());
    } else if (message instanceof PeerMessage.Renew renew) {
      packRenew(packer.packInt(RENEW), renew);
    }
  }

  private static void packRequest(MessagePacker packer, SlotRequest request) throws IOException {
    packKey(packer, request.key());
    packer.packString(request.service()).packBoolean(request.batch()).packLong(request.rank());
    packer.packString(request.dataCentre()).packLong(request.maxWait().toMillis());
    packer.packLong(request.patience().toMillis());
    packer.packLong(request.fingerprint());
    packer.packArrayHeader(request.excluded().size());
    for (EndpointLife life : request.excluded()) {
      packLife(packer, life);
    }
  }

  private static void packAnswer(MessageBufferPacker packer, SlotAnswer answer) throws IOException {
    if (answer instanceof SlotAnswer.Granted granted) {
      packKey(packer.packInt(GRANTED), answer.key());
      packLife(packer, granted.life());
    } else if (answer instanceof SlotAnswer.Waiting waiting) {
      packKey(packer.packInt(WAITING), answer.key());
      packer.packLong(waiting.atMost().toMillis());
    } else if (answer instanceof SlotAnswer.Refused refused) {
      packKey(packer.packInt(REFUSED), answer.key());
      packer.packLong(refused.retryAfter().toMillis());
      SlotAnswer.Load seen = refused.seen();
      packer.packInt(seen.slots()).packInt(seen.used()).packInt(seen.waiting());
    } else {
      packKey(packer.packInt(REVOKED), answer.key());
    }
  }

  private static void packRenew(MessagePacker packer, PeerMessage.Renew renew) throws IOException {
    packer.packString(renew.service()).packString(renew.holder());
    packer.packArrayHeader(renew.uses().size());
    for (SlotUse use : renew.uses()) {
      packLife(packer.packLong(use.number()), use.life());
      packer.packBoolean(use.batch()).packLong(use.rank());
    }
  }

  private static void packKey(MessagePacker packer, SlotKey key) throws IOException {
    packer.packString(key.holder()).packLong(key.number());
  }

  private static void packLife(MessagePacker packer, EndpointLife life) throws IOException {
    packer.packString(life.id()).packLong(life.born());
  }

  private static PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case ASK -> new PeerMessage.Ask(unpackRequest(unpacker));
      case GRANTED ->
          new PeerMessage.Answer(new SlotAnswer.Granted(unpackKey(unpacker), unpackLife(unpacker)));
      case WAITING ->
          new PeerMessage.Answer(
              new SlotAnswer.Waiting(
                  unpackKey(unpacker), Duration.ofMillis(unpacker.unpackLong())));
      case REFUSED ->
          new PeerMessage.Answer(
              new SlotAnswer.Refused(
                  unpackKey(unpacker),
                  Duration.ofMillis(unpacker.unpackLong()),
                  new SlotAnswer.Load(
                      unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt())));
      case REVOKED -> new PeerMessage.Answer(new SlotAnswer.Revoked(unpackKey(unpacker)));
      case RELEASE -> unpackRelease(unpacker);
      case RENEW -> unpackRenew(unpacker);
      case SUSPECT -> unpackSuspect(unpacker);
      case TOLD -> unpackTold(unpacker);
      case BARRED -> new PeerMessage.Barred(unpacker.unpackString(), unpacker.unpackLong());
      case HELD -> new PeerMessage.Held(unpacker.unpackInt(), unpacker.unpackLong());
      default -> throw new IOException("Unknown type " + type);
    };
  }

  private static PeerMessage unpackRelease(MessageUnpacker unpacker) throws IOException {
    SlotKey key = unpackKey(unpacker);
    String service = unpacker.unpackString();
    return new PeerMessage.Release(service, key, SlotOutcome.values()[unpacker.unpackInt()]);
  }

  private static PeerMessage unpackTold(MessageUnpacker unpacker) throws IOException {
    SlotKey key = unpackKey(unpacker);
    String service = unpacker.unpackString();
    ToldLoad load = new ToldLoad(unpacker.unpackInt(), unpacker.unpackInt());
    return new PeerMessage.Told(service, key, load);
  }

  private static PeerMessage unpackSuspect(MessageUnpacker unpacker) throws IOException {
    SlotKey key = unpackKey(unpacker);
    return new PeerMessage.Suspect(unpacker.unpackString(), key);
  }

  private static SlotRequest unpackRequest(MessageUnpacker unpacker) throws IOException {
    SlotKey key = unpackKey(unpacker);
    String service = unpacker.unpackString();
    boolean batch = unpacker.unpackBoolean();
    long rank = unpacker.unpackLong();
    String dataCentre = unpacker.unpackString();
    Duration maxWait = Duration.ofMillis(unpacker.unpackLong());
    Duration patience = Duration.ofMillis(unpacker.unpackLong());
    long fingerprint = unpacker.unpackLong();
    Set<EndpointLife> excluded = new HashSet<>();
    int size = unpacker.unpackArrayHeader();
    for (int i = 0; i < size; i++) {
      excluded.add(unpackLife(unpacker));
    }
    return new SlotRequest(
        key, service, batch, rank, dataCentre, maxWait, patience, fingerprint, excluded);
  }

  private static PeerMessage unpackRenew(MessageUnpacker unpacker) throws IOException {
    String service = unpacker.unpackString();
    String holder = unpacker.unpackString();
    List<SlotUse> uses = new ArrayList<>();
    int size = unpacker.unpackArrayHeader();
    for (int i = 0; i < size; i++) {
      long number = unpacker.unpackLong();
      EndpointLife life = unpackLife(unpacker);
      uses.add(new SlotUse(number, life, unpacker.unpackBoolean(), unpacker.unpackLong()));
    }
    return new PeerMessage.Renew(service, holder, uses);
  }

  private static EndpointLife unpackLife(MessageUnpacker unpacker) throws IOException {
    return new EndpointLife(unpacker.unpackString(), unpacker.unpackLong());
  }

  private static SlotKey unpackKey(MessageUnpacker unpacker) throws IOException {
    return new SlotKey(unpacker.unpackString(), unpacker.unpackLong());
  }
}

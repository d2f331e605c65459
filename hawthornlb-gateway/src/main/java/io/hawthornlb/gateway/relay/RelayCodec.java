package io.hawthornlb.gateway.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads the messages of a link, in MessagePack. */
final class RelayCodec {

  private static final int CALL = 1;
  private static final int REPLY = 2;
  private static final int FAILURE = 3;

  private RelayCodec() {}

  static byte[] encode(RelayMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      if (message instanceof RelayMessage.Call call) {
        packer.packInt(CALL).packLong(call.id());
        packCall(packer, call);
      } else if (message instanceof RelayMessage.Reply reply) {
        packer.packInt(REPLY).packLong(reply.id()).packInt(reply.status());
        packHeaders(packer, reply.headers());
        packBytes(packer, reply.body());
      } else if (message instanceof RelayMessage.Failure failure) {
        packer.packInt(FAILURE).packLong(failure.id()).packBoolean(failure.unsent());
        packer.packString(failure.cause());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  /**
   * Returns the message that a frame holds.
   *
   * @throws UncheckedIOException if it holds none
   */
  static RelayMessage decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int type = unpacker.unpackInt();
      long id = unpacker.unpackLong();
      return switch (type) {
        case CALL -> unpackCall(id, unpacker);
        case REPLY -> unpackReply(id, unpacker);
        case FAILURE ->
            new RelayMessage.Failure(id, unpacker.unpackBoolean(), unpacker.unpackString());
        default -> throw new IOException("Unknown type " + type);
      };
    } catch (MessagePackException e) {
      throw new UncheckedIOException("Not a message of a link", new IOException(e));
    } catch (IOException e) {
      throw new UncheckedIOException("Not a message of a link", e);
    }
  }

  private static void packCall(MessageBufferPacker packer, RelayMessage.Call call)
      throws IOException {
    packer.packInt(call.target().ordinal());
    packer.packString(call.method()).packString(call.path());
    packer.packLong(call.timeout().toMillis());
    packHeaders(packer, call.headers());
    packBytes(packer, call.body());
  }

  private static void packHeaders(MessageBufferPacker packer, Map<String, String> headers)
      throws IOException {
    packer.packMapHeader(headers.size());
    for (Map.Entry<String, String> header : headers.entrySet()) {
      packer.packString(header.getKey()).packString(header.getValue());
    }
  }

  private static Map<String, String> unpackHeaders(MessageUnpacker unpacker) throws IOException {
    Map<String, String> headers = new HashMap<>();
    int count = unpacker.unpackMapHeader();
    for (int i = 0; i < count; i++) {
      headers.put(unpacker.unpackString(), unpacker.unpackString());
    }
    return headers;
  }

  private static RelayMessage.Reply unpackReply(long id, MessageUnpacker unpacker)
      throws IOException {
    int status = unpacker.unpackInt();
    Map<String, String> headers = unpackHeaders(unpacker);
    return new RelayMessage.Reply(id, status, headers, unpackBytes(unpacker));
  }

  private static RelayTarget unpackTarget(MessageUnpacker unpacker) throws IOException {
    int number = unpacker.unpackInt();
    RelayTarget[] targets = RelayTarget.values();
    if (number < 0 || number >= targets.length) {
      throw new IOException("Unknown target " + number);
    }
    return targets[number];
  }

  private static RelayMessage.Call unpackCall(long id, MessageUnpacker unpacker)
      throws IOException {
    RelayTarget target = unpackTarget(unpacker);
    String method = unpacker.unpackString();
    String path = unpacker.unpackString();
    Duration timeout = Duration.ofMillis(unpacker.unpackLong());
    Map<String, String> headers = unpackHeaders(unpacker);
    return new RelayMessage.Call(id, target, method, path, headers, unpackBytes(unpacker), timeout);
  }

  private static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length).writePayload(bytes);
  }

  private static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
    return unpacker.readPayload(unpacker.unpackBinaryHeader());
  }
}

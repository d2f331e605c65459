package io.hawthornlb.gateway.relay;

import io.hawthornlb.gateway.decode.HttpText;
import io.hawthornlb.gateway.decode.MessageReader;
import io.hawthornlb.gateway.decode.UnreadableException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Encodes and decodes the messages of a link as MessagePack. */
final class RelayCodec {

  private static final int CALL = 1;
  private static final int REPLY = 2;
  private static final int FAILURE = 3;

  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;

  /** Maximum timeout of a call; calls to the store take at most 35 s. */
  private static final Duration MAX_TIMEOUT = Duration.ofMinutes(5);

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
   * Decodes the message in a frame.
   *
   * @throws UnreadableException if the frame does not contain a valid message
   */
  static RelayMessage decode(byte[] bytes) {
    return MessageReader.read(
        "frame",
        bytes,
        reader -> {
          int type = reader.number("type", CALL, FAILURE);
          long id = reader.number();
          return switch (type) {
            case CALL -> unpackCall(id, reader);
            case REPLY -> unpackReply(id, reader);
            default -> new RelayMessage.Failure(id, reader.flag(), reader.text());
          };
        });
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

  private static Map<String, String> unpackHeaders(MessageReader reader) throws IOException {
    Map<String, String> headers = new HashMap<>();
    int count = reader.mapSize();
    for (int i = 0; i < count; i++) {
      String name = HttpText.headerName("header", reader.text());
      headers.put(name, HttpText.headerValue("header", reader.text()));
    }
    return headers;
  }

  private static RelayMessage.Reply unpackReply(long id, MessageReader reader) throws IOException {
    int status = reader.number("status", MIN_STATUS, MAX_STATUS);
    Map<String, String> headers = unpackHeaders(reader);
    return new RelayMessage.Reply(id, status, headers, reader.bytes());
  }

  private static RelayMessage.Call unpackCall(long id, MessageReader reader) throws IOException {
    RelayTarget[] targets = RelayTarget.values();
    RelayTarget target = targets[reader.number("target", 0, targets.length - 1)];
    String method = HttpText.headerName("method", reader.text());
    String path = HttpText.path("path", reader.text());
    Duration timeout = reader.millis("timeout", MAX_TIMEOUT);
    Map<String, String> headers = unpackHeaders(reader);
    return new RelayMessage.Call(id, target, method, path, headers, reader.bytes(), timeout);
  }

  private static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length).writePayload(bytes);
  }
}

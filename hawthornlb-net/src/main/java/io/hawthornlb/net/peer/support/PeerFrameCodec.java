package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.config.EnumNames;
import io.hawthornlb.net.codec.CodecException;
import io.hawthornlb.net.peer.PeerFrameTooLargeException;
import io.hawthornlb.net.peer.PeerOptions;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes frames as a MessagePack array of correlation id, kind and binary content. */
final class PeerFrameCodec {

  /** Bytes that a frame adds to its content at most. */
  private static final int MAX_OVERHEAD = 32;

  private static final int MEMBERS = 3;

  private PeerFrameCodec() {}

  /**
   * Checks that a content fits into a frame.
   *
   * <p>The receiver closes the connection at a frame that is too large, and with it every other
   * request in progress would fail; so the sender refuses it first.
   *
   * @throws PeerFrameTooLargeException if it does not fit
   */
  static void requireFits(byte[] content, PeerOptions options) {
    int limit = options.frameLimit() - MAX_OVERHEAD;
    if (content.length > limit) {
      throw new PeerFrameTooLargeException(content.length, limit);
    }
  }

  static byte[] encode(PeerFrame frame) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(MEMBERS);
      packer.packLong(frame.correlation());
      packer.packString(frame.kind().wireName());
      packer.packBinaryHeader(frame.content().length);
      packer.writePayload(frame.content());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new CodecException("cannot encode a frame", e);
    }
  }

  /**
   * Returns the frame, or empty if its kind is unknown to this version.
   *
   * @throws CodecException if the bytes are no frame
   */
  static Optional<PeerFrame> decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackArrayHeader() < MEMBERS) {
        throw new CodecException("expected an array of correlation id, kind and content", null);
      }
      long correlation = unpacker.unpackLong();
      Optional<FrameKind> kind = EnumNames.find(FrameKind.class, unpacker.unpackString());
      byte[] content = unpacker.readPayload(unpacker.unpackBinaryHeader());
      return kind.map(known -> new PeerFrame(correlation, known, content));
    } catch (IOException | MessagePackException e) {
      throw new CodecException("the bytes are no frame", e);
    }
  }
}

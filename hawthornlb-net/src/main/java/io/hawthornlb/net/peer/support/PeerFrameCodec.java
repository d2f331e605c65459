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

  /** The most bytes that a frame adds to its content. */
  private static final int MAX_OVERHEAD = 32;

  private static final int MEMBERS = 3;

  private PeerFrameCodec() {}

  /**
   * Checks that content fits into a frame.
   *
   * <p>A receiver closes the connection when it receives a frame that is too large, and every other
   * request in progress on the connection fails. The sender therefore rejects the content first.
   *
   * @throws PeerFrameTooLargeException if the content does not fit
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
   * @throws CodecException if the bytes are not a frame
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
      throw new CodecException("the bytes are not a frame", e);
    }
  }
}

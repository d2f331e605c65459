package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.codec.CodecException;
import io.hawthornlb.net.codec.MessagePackCodec;
import io.hawthornlb.net.codec.TypeRegistry;

/**
 * First message on a connection, which identifies the sender of all further frames.
 *
 * @param sender the instance that sends the frames
 * @param version the newest protocol version that the sender supports
 */
record PeerHello(InstanceId sender, int version) implements PeerMessage {

  private static final int VERSION = 1;

  private static final MessagePackCodec<PeerHello> CODEC =
      new MessagePackCodec<>(
          TypeRegistry.<PeerHello>builder().register("hello", PeerHello.class).build());

  static PeerFrame frame(InstanceId self) {
    return new PeerFrame(0, FrameKind.HELLO, CODEC.encode(new PeerHello(self, VERSION)));
  }

  /**
   * Returns the sender that a hello frame identifies.
   *
   * @throws CodecException if the frame is not a hello
   */
  static InstanceId senderOf(PeerFrame frame) {
    if (frame.kind() != FrameKind.HELLO) {
      throw new CodecException("the first frame must be a hello", null);
    }
    return CODEC
        .decode(frame.content())
        .map(PeerHello::sender)
        .orElseThrow(() -> new CodecException("the hello does not identify its sender", null));
  }
}

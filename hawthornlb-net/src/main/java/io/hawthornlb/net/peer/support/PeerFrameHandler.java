package io.hawthornlb.net.peer.support;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;

/** Converts between the bytes of a complete frame and {@link PeerFrame}. */
final class PeerFrameHandler extends MessageToMessageCodec<ByteBuf, PeerFrame> {

  @Override
  protected void encode(ChannelHandlerContext context, PeerFrame frame, List<Object> out) {
    out.add(Unpooled.wrappedBuffer(PeerFrameCodec.encode(frame)));
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) {
    PeerFrameCodec.decode(ByteBufUtil.getBytes(bytes)).ifPresent(out::add);
  }
}

package io.hawthornlb.gateway.relay;

import io.hawthornlb.gateway.loop.WorkAccount;
import io.hawthornlb.gateway.loop.WorkKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/** Sets up the channels of links. A frame consists of four bytes of length and one message. */
final class RelayChannels {

  /**
   * Maximum frame size. A page of the log has at most 1 MiB, which is 1.4 MiB in base64; an append
   * has at most 2 MiB.
   */
  private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  private static final int LENGTH_BYTES = 4;

  private RelayChannels() {}

  /** Sets up a channel that passes its messages to a receiver. */
  static void setUp(Channel channel, Receiver receiver) {
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new Handler(receiver));
  }

  /** Sends a message. The future completes once the socket has accepted the bytes. */
  static ChannelFuture send(Channel channel, RelayMessage message) {
    return channel.writeAndFlush(Unpooled.wrappedBuffer(RelayCodec.encode(message)));
  }

  /** Receiver of the messages of a channel. */
  interface Receiver {

    /** Called with each message. */
    void received(Channel channel, RelayMessage message);

    /** Called when the channel is closed. */
    void closed(Channel channel, String cause);
  }

  /** Decodes frames, and closes a channel that receives anything else. */
  private static final class Handler extends SimpleChannelInboundHandler<ByteBuf> {

    private final Receiver receiver;
    private String cause = "the link closed";

    private Handler(Receiver receiver) {
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      WorkAccount.noteKind(ctx.channel(), WorkKind.LINK);
      receiver.received(ctx.channel(), RelayCodec.decode(ByteBufUtil.getBytes(frame)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      receiver.closed(ctx.channel(), cause);
      ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      // The callback channelInactive follows and notifies the receiver.
      cause = "the link failed: " + failure;
      ctx.close();
    }
  }
}

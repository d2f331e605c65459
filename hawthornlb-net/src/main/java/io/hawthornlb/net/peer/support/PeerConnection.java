package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerHandler;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.codec.CodecException;
import io.hawthornlb.net.peer.PeerHandlerRegistry;
import io.hawthornlb.net.peer.PeerNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.jspecify.annotations.Nullable;

/** Handles the messages on one connection that a peer opened. */
final class PeerConnection extends SimpleChannelInboundHandler<PeerFrame> {

  private static final System.Logger LOG = System.getLogger(PeerConnection.class.getName());

  private final PeerNode node;
  private final PeerHandlerRegistry handlers;
  private final Executor executor;
  private @Nullable InstanceId sender;

  PeerConnection(PeerNode node, PeerHandlerRegistry handlers, Executor executor) {
    this.node = node;
    this.handlers = handlers;
    this.executor = executor;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    if (sender == null) {
      sender = PeerHello.senderOf(frame);
      context.writeAndFlush(PeerHello.frame(node.self()));
      return;
    }
    switch (frame.kind()) {
      case REQUEST, SEND -> dispatch(context.channel(), sender, frame);
      case PROBE -> context.writeAndFlush(frame);
      default -> throw new CodecException("unexpected " + frame.kind(), null);
    }
  }

  private void dispatch(Channel channel, InstanceId from, PeerFrame frame) {
    Optional<PeerMessage> message = decode(frame);
    Optional<PeerHandler<PeerMessage>> handler =
        message.flatMap(known -> handlers.handler(known.getClass()));
    if (handler.isEmpty()) {
      reply(channel, frame, PeerFrame.failure(frame.correlation(), "it has no handler for this"));
      return;
    }
    try {
      executor.execute(() -> handle(channel, from, frame, handler.get(), message.get()));
    } catch (RejectedExecutionException e) {
      reply(channel, frame, PeerFrame.failure(frame.correlation(), "it stops"));
    }
  }

  /** Returns the message, or empty if this version does not know its type or cannot read it. */
  private Optional<PeerMessage> decode(PeerFrame frame) {
    try {
      return node.codec().decode(frame.content());
    } catch (CodecException e) {
      LOG.log(System.Logger.Level.WARNING, "peers: cannot decode a message from " + sender, e);
      return Optional.empty();
    }
  }

  private void handle(
      Channel channel,
      InstanceId from,
      PeerFrame frame,
      PeerHandler<PeerMessage> handler,
      PeerMessage message) {
    try {
      handler
          .handle(from, message)
          .whenComplete((response, failure) -> respond(channel, frame, response, failure));
    } catch (RuntimeException e) {
      respond(channel, frame, null, e);
    }
  }

  private void respond(
      Channel channel,
      PeerFrame frame,
      @Nullable PeerMessage response,
      @Nullable Throwable failure) {
    if (failure != null) {
      LOG.log(
          System.Logger.Level.WARNING, "peers: failed to handle a message from " + sender, failure);
      reply(channel, frame, PeerFrame.failure(frame.correlation(), "its handler failed"));
    } else if (response == null) {
      reply(channel, frame, PeerFrame.failure(frame.correlation(), "it has no answer"));
    } else {
      reply(channel, frame, responseFrame(frame, response));
    }
  }

  private PeerFrame responseFrame(PeerFrame request, PeerMessage response) {
    try {
      byte[] content = node.codec().encode(response);
      PeerFrameCodec.requireFits(content, node.options());
      return new PeerFrame(request.correlation(), FrameKind.ANSWER, content);
    } catch (CodecException | IllegalArgumentException e) {
      LOG.log(System.Logger.Level.ERROR, "peers: cannot send a response to " + sender, e);
      return PeerFrame.failure(request.correlation(), "its answer cannot be sent");
    }
  }

  private static void reply(Channel channel, PeerFrame request, PeerFrame reply) {
    if (request.kind() == FrameKind.REQUEST) {
      channel.writeAndFlush(reply);
    }
  }

  /**
   * Applies backpressure: reads requests only while responses can be written.
   *
   * <p>A peer that sends requests but does not read the responses would fill the memory of this
   * instance. Its further requests are not read until it reads the responses.
   */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    context.channel().config().setAutoRead(context.channel().isWritable());
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent) {
      context.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Object peer = sender == null ? context.channel().remoteAddress() : sender;
    LOG.log(
        System.Logger.Level.WARNING,
        "peers: connection from " + peer + " closed: " + Causes.text(cause));
    context.close();
  }
}

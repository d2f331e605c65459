package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** A request on a pooled connection. */
final class PooledCall implements EndpointCall {

  private final EndpointPool pool;
  private final EndpointIncarnation endpoint;
  private final EndpointCallListener listener;
  private final @Nullable String requestId;
  private final boolean head;
  private @Nullable FullHttpRequest request;
  private @Nullable Channel channel;
  private @Nullable ChannelFuture written;
  private int carriedBefore;
  private boolean done;

  PooledCall(
      EndpointPool pool,
      EndpointIncarnation endpoint,
      FullHttpRequest request,
      EndpointCallListener listener) {
    this.pool = pool;
    this.endpoint = endpoint;
    this.request = request;
    this.listener = listener;
    this.requestId = request.headers().get(pool.names().requestId());
    this.head = request.method().equals(HttpMethod.HEAD);
  }

  void write(Channel to) {
    FullHttpRequest outgoing = request;
    request = null;
    if (done || outgoing == null) {
      if (outgoing != null) {
        outgoing.release();
      }
      EndpointPool.close(to, ConnectionEnd.ABORTED);
      return;
    }
    channel = to;
    pool.began(this);
    carriedBefore = EndpointPool.handler(to).begin(this);
    to.config().setAutoRead(true);
    written = to.writeAndFlush(outgoing);
  }

  void notSent(String cause) {
    releaseRequest();
    if (!done) {
      end();
      listener.onFailure(false, cause);
    }
  }

  @Override
  public void abort() {
    end();
    releaseRequest();
    if (channel != null) {
      EndpointPool.close(channel, ConnectionEnd.ABORTED);
    }
  }

  @Override
  public void endTooLong(AnswerPart part, long bytes) {
    if (!done) {
      end();
      pool.answers().ended(new EndedAnswer(requestId, endpoint.id(), part, bytes));
      if (channel != null) {
        EndpointPool.close(channel, ConnectionEnd.TOO_LONG);
      }
      listener.onFailure(true, "the answer has no end: " + part.label());
    }
  }

  @Override
  public void setReading(boolean on) {
    if (channel != null) {
      channel.config().setAutoRead(on);
    }
  }

  @Override
  public int carriedBefore() {
    return carriedBefore;
  }

  EndpointPool pool() {
    return pool;
  }

  EndpointIncarnation endpoint() {
    return endpoint;
  }

  /** Returns whether the request was sent on a connection that was opened before a moment. */
  boolean openedBefore(Instant moment) {
    return channel != null && EndpointPool.handler(channel).openedAt().isBefore(moment);
  }

  boolean done() {
    return done;
  }

  EndpointCallListener listener() {
    return listener;
  }

  /** Returns the id of the request; null if it has none. */
  @Nullable String requestId() {
    return requestId;
  }

  /** Returns whether the answer has no body since the request's method is HEAD. */
  boolean isHead() {
    return head;
  }

  /**
   * Returns whether the complete request has been written, so that the connection may be reused.
   */
  boolean isFullyWritten() {
    return written != null && written.isSuccess();
  }

  /** Called when the answer is complete; the connection is then no longer this call's. */
  void ended() {
    if (!done) {
      end();
      channel = null;
      listener.onEnd();
    }
  }

  void failed(String cause) {
    if (!done) {
      end();
      listener.onFailure(true, cause);
    }
  }

  private void end() {
    done = true;
    pool.ended(this);
  }

  private void releaseRequest() {
    if (request != null) {
      request.release();
      request = null;
    }
  }
}

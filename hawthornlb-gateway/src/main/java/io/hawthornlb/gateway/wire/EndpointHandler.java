package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.endpoint.EndpointLife;
import io.hawthornlb.gateway.loop.WorkAccount;
import io.hawthornlb.gateway.loop.WorkKind;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Hands answers of an endpoint to the request that waits on a connection.
 *
 * <p>Failure: an endpoint sends a second answer, or one that is late for a request before. It shows
 * as an answer with another id, or as bytes on a connection where nothing waits. Guard: answers
 * with another id are passed over, and a connection that brought anything unasked is not used
 * again.
 */
final class EndpointHandler extends SimpleChannelInboundHandler<HttpObject> {

  /** Time that a connection is kept when the endpoint names none; shorter than a second is rare. */
  private static final Duration DEFAULT_IDLE = Duration.ofMillis(900);

  /**
   * Taken off the time that an endpoint names, so that it does not close while a request leaves.
   */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(500);

  /** Up to nine digits: a longer time would overflow, and the answer it came with be reset. */
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,9})");

  private final ConnectionCounts counts;
  private @Nullable PooledCall call;
  private @Nullable EndpointLife idleAt;
  private @Nullable EndpointPool pool;
  private @Nullable ScheduledFuture<?> idleTimer;
  private boolean skipping;
  private boolean inAnswer;
  private boolean answered;
  private boolean reusable = true;
  private boolean reset;
  private String cause = "";
  private Duration restBefore = Duration.ZERO;
  private long begunNanos;
  private Duration idleTime = DEFAULT_IDLE;
  private Instant opened = Instant.MAX;
  private @Nullable EndpointLife life;

  EndpointHandler(ConnectionCounts counts) {
    this.counts = counts;
  }

  void opened(EndpointLife endpoint, Instant when) {
    life = endpoint;
    opened = when;
  }

  /** Takes why the connection is being closed; the first reason counts. */
  void endsBy(ConnectionEnd end) {
    EndpointLife endpoint = life;
    life = null;
    if (endpoint == null) {
      return;
    }
    if (idleAt == null) {
      counts.closed(endpoint, end);
    } else {
      counts.closedAtRest(endpoint, end);
    }
  }

  Instant openedAt() {
    return opened;
  }

  void begin(PooledCall next) {
    restBefore = rested();
    begunNanos = next.pool().loop().ticker().nanoTime();
    stopIdleTimer();
    call = next;
    idleAt = null;
    skipping = false;
    inAnswer = false;
    answered = false;
  }

  /** Returns how long the connection has rested by now; no time if it is in use or new. */
  Duration rested() {
    return idleTimer == null
        ? Duration.ZERO
        : idleTime.minusNanos(idleTimer.getDelay(TimeUnit.NANOSECONDS));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    PooledCall current = call;
    WorkAccount.noteKind(
        ctx.channel(), current == null ? WorkKind.OTHER : current.listener().work());
    if (current == null || current.done() || message.decoderResult().isFailure()) {
      reusable = false;
      ctx.close();
      if (current != null) {
        current.failed("the answer is not HTTP");
      }
      return;
    }
    if (message instanceof HttpResponse response) {
      responded(response, current);
    }
    if (message instanceof HttpContent content && inAnswer) {
      if (content.content().isReadable()) {
        current.listener().onContent(content.content());
      }
      if (content instanceof LastHttpContent) {
        // A connection that was reset may still deliver what looks like the end of an answer
        // without a length; such an answer is not whole.
        ended(ctx.channel(), current);
      }
    } else if (message instanceof LastHttpContent) {
      skipping = false;
    }
  }

  private void responded(HttpResponse response, PooledCall current) {
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipping = true;
      return;
    }
    if (!current.owns(response)) {
      skipping = true;
      reusable = false;
      return;
    }
    inAnswer = true;
    answered = true;
    reusable &= HttpUtil.isKeepAlive(response) && hasLength(response);
    noteIdleTime(response);
    current.listener().onResponse(response);
  }

  private static boolean hasLength(HttpResponse response) {
    return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
  }

  private void noteIdleTime(HttpResponse response) {
    String keepAlive = response.headers().get("Keep-Alive");
    if (keepAlive == null) {
      return;
    }
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
    if (matcher.find()) {
      idleTime = Duration.ofSeconds(Long.parseLong(matcher.group(1))).minus(IDLE_MARGIN);
    }
  }

  private void ended(Channel channel, PooledCall current) {
    inAnswer = false;
    call = null;
    if (reset) {
      current.failed("the connection was reset" + cause);
      return;
    }
    boolean keep = reusable && !current.done() && current.whollyWritten() && channel.isActive();
    if (keep) {
      idleAt = current.endpoint();
      pool = current.pool();
      current.pool().keep(current.endpoint(), channel);
      startIdleTimer(channel);
    } else {
      EndpointPool.close(channel, ConnectionEnd.ANNOUNCED);
    }
    current.ended();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    stopIdleTimer();
    endsBy(idleAt == null ? ConnectionEnd.BROKEN : ConnectionEnd.CLOSED_BY_ENDPOINT);
    PooledCall current = call;
    call = null;
    if (idleAt != null && pool != null) {
      pool.discard(idleAt, ctx.channel());
    }
    if (current != null) {
      if (!answered && !current.done()) {
        EndpointPool at = current.pool();
        Duration since = Duration.ofNanos(at.loop().ticker().nanoTime() - begunNanos);
        at.rests().resetAfter(ctx.channel().remoteAddress(), restBefore, since);
      }
      current.failed(reset ? "the connection was reset" + cause : "the connection closed");
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
    // The request fails by channelInactive, which follows and tells the cause.
    reset = true;
    cause = ": " + failure;
    ctx.close();
  }

  private void startIdleTimer(Channel channel) {
    long millis = Math.max(1, idleTime.toMillis());
    idleTimer = channel.eventLoop().schedule(() -> close(channel), millis, TimeUnit.MILLISECONDS);
  }

  private void close(Channel channel) {
    if (call == null) {
      EndpointPool.close(channel, ConnectionEnd.RESTED);
    }
  }

  private void stopIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel(false);
      idleTimer = null;
    }
  }
}

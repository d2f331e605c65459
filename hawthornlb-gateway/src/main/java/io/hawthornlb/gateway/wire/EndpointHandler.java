package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.loop.WorkAccount;
import io.hawthornlb.gateway.loop.WorkKind;
import io.hawthornlb.http.BrokenResponseException;
import io.hawthornlb.http.support.GrammarScanner;
import io.hawthornlb.http.support.ResponseGuard;
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
 * Passes responses of an endpoint to the request that waits on a connection.
 *
 * <p>An endpoint may send a second response, or a late response to an earlier request. Such a
 * response carries another request id, or arrives while no request waits on the connection, since
 * {@link CarriedIds a connection carries each id once}. The handler ignores a response with another
 * id, and does not reuse a connection that received unexpected data. A response without an id may
 * belong to anyone, and ends the request as failed.
 */
final class EndpointHandler extends SimpleChannelInboundHandler<HttpObject> {

  /**
   * Time that a connection is kept idle when the endpoint names no timeout; endpoints rarely use
   * less than one second.
   */
  private static final Duration DEFAULT_IDLE = Duration.ofMillis(900);

  /**
   * Margin subtracted from the timeout that the endpoint names, so that the endpoint does not close
   * the connection while a request is being sent.
   */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(500);

  /**
   * Up to nine digits. A longer number would overflow, and the response that contains it would be
   * aborted.
   */
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,9})");

  private final ConnectionCounts counts;
  private final AnswerLines answers;
  private @Nullable PooledCall call;
  private @Nullable EndpointIncarnation idleEndpoint;
  private @Nullable EndpointPool pool;
  private @Nullable ScheduledFuture<?> idleTimer;
  private final CarriedIds carried = new CarriedIds();
  private final ResponseGuard guard = new ResponseGuard(new GrammarScanner(this::awaitsHeadOnly));
  private final AnswerDecoder decoder = new AnswerDecoder(this);
  private final ByteBudget beforeAnswer = new ByteBudget(AnswerLimits.BEFORE_ANSWER_BYTES);
  private @Nullable String lastId;
  private boolean carriedHead;
  private boolean inAnswer;
  private boolean answered;
  private boolean reusable = true;
  private boolean reset;
  private String cause = "";
  private Duration idleBefore = Duration.ZERO;
  private long startNanos;
  private Duration idleTime = DEFAULT_IDLE;
  private Instant opened = Instant.MAX;
  private @Nullable EndpointIncarnation incarnation;

  EndpointHandler(ConnectionCounts counts, AnswerLines answers) {
    this.counts = counts;
    this.answers = answers;
  }

  /** Returns the check of the connection's bytes, which stands before the decoder. */
  ResponseGuard guard() {
    return guard;
  }

  /** Returns the decoder of the connection, which stands before this handler in the pipeline. */
  AnswerDecoder decoder() {
    return decoder;
  }

  /** Returns whether a request waits for its answer. */
  boolean waits() {
    return call != null;
  }

  /** Returns whether a request waits whose answer has no body. */
  boolean awaitsHeadOnly() {
    return call != null && call.isHead();
  }

  /** Closes a connection on which bytes came while no request waited. */
  void onStrayBytes(Channel channel) {
    distrust(channel, Distrust.STRAY_BYTES, null);
  }

  /** Ends a request whose answer has not begun although its endpoint has sent a lot. */
  void onBytesRead(int bytes) {
    PooledCall current = call;
    if (current == null || answered) {
      return;
    }
    beforeAnswer.use(bytes);
    if (beforeAnswer.exceeded()) {
      current.endTooLong(AnswerPart.BEFORE_ANSWER, beforeAnswer.used());
    }
  }

  void opened(EndpointIncarnation endpoint, Instant when) {
    incarnation = endpoint;
    opened = when;
  }

  /** Records the reason why the connection is being closed; only the first reason counts. */
  void recordEnd(ConnectionEnd end) {
    EndpointIncarnation endpoint = incarnation;
    incarnation = null;
    if (endpoint == null) {
      return;
    }
    if (idleEndpoint == null) {
      counts.closed(endpoint, end);
    } else {
      counts.closedIdle(endpoint, end);
    }
  }

  Instant openedAt() {
    return opened;
  }

  /** Starts a request; returns how many the connection carried before. */
  int begin(PooledCall next) {
    idleBefore = currentIdleTime();
    startNanos = next.pool().loop().ticker().nanoTime();
    stopIdleTimer();
    call = next;
    idleEndpoint = null;
    inAnswer = false;
    answered = false;
    beforeAnswer.restart(0);
    int before = carried.size();
    lastId = next.requestId();
    carriedHead |= next.isHead();
    carried.add(lastId);
    return before;
  }

  /**
   * Returns whether a request with an id may be sent on this connection, so that no late copy of an
   * earlier answer can be taken for its own.
   */
  boolean mayCarry(@Nullable String requestId) {
    return !carried.contains(requestId);
  }

  /** Returns how long the connection has been idle; zero if it is new or in use. */
  Duration currentIdleTime() {
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
      if (current == null && message instanceof HttpResponse response) {
        dropped(AnswerOwner.NOBODY, response, null);
      }
      if (current == null) {
        ctx.close();
      } else {
        distrust(ctx.channel(), Distrust.NOT_HTTP, current);
      }
      return;
    }
    if (message instanceof HttpResponse response) {
      onResponse(ctx.channel(), response, current);
    }
    if (message instanceof HttpContent content && inAnswer) {
      if (content.content().isReadable()) {
        current.listener().onContent(content.content());
      }
      if (content instanceof LastHttpContent) {
        onResponseEnd(ctx.channel(), current);
      }
    }
  }

  private void onResponse(Channel channel, HttpResponse response, PooledCall current) {
    if (!AnswerHead.isSingle(response, answers.names())) {
      distrust(channel, Distrust.JOINED_HEADS, current);
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return;
    }
    String echoed = response.headers().get(answers.requestIdName());
    AnswerOwner owner = AnswerOwner.of(echoed, current.requestId());
    if (owner != AnswerOwner.WAITING_REQUEST) {
      reusable = false;
      dropped(owner, response, current);
      if (owner == AnswerOwner.UNNAMED) {
        distrust(channel, Distrust.UNNAMED, current);
      } else if (!AnswerFraming.isFramed(response) && !AnswerFraming.isBodiless(response)) {
        distrust(channel, Distrust.UNFRAMED_COPY, current);
      } else if (carriedHead) {
        distrust(channel, Distrust.COPY_BESIDE_HEAD, current);
      }
      return;
    }
    inAnswer = true;
    answered = true;
    reusable &= HttpUtil.isKeepAlive(response) && AnswerFraming.isFramed(response);
    readKeepAliveTimeout(response);
    current.listener().onResponse(response);
  }

  private void distrust(Channel channel, Distrust reason, @Nullable PooledCall waiting) {
    distrust(channel, reason.label(), waiting);
  }

  /** Closes the connection, and tells the caller of the waiting request at once. */
  private void distrust(Channel channel, String reason, @Nullable PooledCall waiting) {
    EndpointIncarnation endpoint = incarnation;
    if (endpoint != null && (waiting == null || !waiting.done())) {
      answers.distrusted(reason, lastId, endpoint.id());
    }
    reusable = false;
    if (waiting != null) {
      waiting.failed(reason + cause);
    }
    channel.close();
  }

  private void dropped(AnswerOwner owner, HttpResponse response, @Nullable PooledCall waiting) {
    EndpointIncarnation endpoint = incarnation;
    answers.dropped(
        new DroppedAnswer(
            owner,
            response.headers().get(answers.requestIdName()),
            waiting == null ? null : waiting.requestId(),
            endpoint == null ? null : endpoint.id(),
            response.status().code(),
            carried.size()));
  }

  private void readKeepAliveTimeout(HttpResponse response) {
    String keepAlive = response.headers().get("Keep-Alive");
    if (keepAlive == null) {
      return;
    }
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
    if (matcher.find()) {
      idleTime = Duration.ofSeconds(Long.parseLong(matcher.group(1))).minus(IDLE_MARGIN);
    }
  }

  private void onResponseEnd(Channel channel, PooledCall current) {
    inAnswer = false;
    call = null;
    if (reset) {
      // After a failure here, the decoder still passes on what it has read already.
      current.failed("the connection was reset" + cause);
      return;
    }
    boolean keep =
        reusable
            && !carried.full()
            && !current.done()
            && current.isFullyWritten()
            && channel.isActive()
            && !decoder.hasUnread();
    if (keep) {
      idleEndpoint = current.endpoint();
      pool = current.pool();
      current.pool().keep(current.endpoint(), channel);
      startIdleTimer(channel);
    } else if (decoder.hasUnread()) {
      onStrayBytes(channel);
    } else {
      EndpointPool.close(channel, ConnectionEnd.ANNOUNCED);
    }
    current.ended();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    stopIdleTimer();
    recordEnd(idleEndpoint == null ? ConnectionEnd.BROKEN : ConnectionEnd.CLOSED_BY_ENDPOINT);
    PooledCall current = call;
    call = null;
    if (idleEndpoint != null && pool != null) {
      pool.discard(idleEndpoint, ctx.channel());
    }
    if (current != null) {
      if (!answered && !current.done()) {
        EndpointPool at = current.pool();
        Duration since = Duration.ofNanos(at.loop().ticker().nanoTime() - startNanos);
        at.idleLimits().resetAfter(ctx.channel().remoteAddress(), idleBefore, since);
      }
      current.failed(reset ? "the connection was reset" + cause : "the connection closed");
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
    if (failure instanceof BrokenResponseException broken) {
      onBroken(ctx.channel(), broken);
      return;
    }
    // channelInactive follows and fails the request with this cause.
    reset = true;
    cause = ": " + failure;
    ctx.close();
  }

  /** Ends the request at once, before the decoder can end its response. */
  private void onBroken(Channel channel, BrokenResponseException broken) {
    PooledCall current = call;
    if (current == null) {
      onStrayBytes(channel);
    } else {
      distrust(channel, broken.fault().label(), current);
    }
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

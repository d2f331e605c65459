package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.loop.WorkKind;
import io.hawthornlb.gateway.wire.EndpointCallListener;
import io.hawthornlb.gateway.wire.EventSplitter;
import io.hawthornlb.gateway.wire.HeaderNames;
import io.hawthornlb.gateway.wire.StreamEvent;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Passes an endpoint's answer on to the caller.
 *
 * <p>Streams go event by event as they come. Other answers are kept until they are whole, so that
 * one that breaks off can be replaced by another endpoint's, up to a size above which they are
 * passed on as they come.
 */
final class AnswerRelay implements EndpointCallListener {

  /** Bytes of an answer that is kept until it is whole; most are under 5 KiB. */
  private static final int MAX_KEPT_BYTES = 65_536;

  private final Forwarding forwarding;
  private final HeaderNames names;
  private final InstantSource clock;
  private final Responder responder;
  private final boolean streaming;
  private final EventSplitter splitter = new EventSplitter();
  private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
  private @Nullable HttpResponse response;
  private @Nullable Mode mode;
  private boolean headSent;
  private long lastEventId = -1;
  private boolean begun;
  private Instant lastHeard;
  private @Nullable Instant firstPassed;

  /** How the present answer is treated. */
  private enum Mode {
    /** The endpoint did not run the request. */
    NOT_RUN,
    /** The answer is none that may reach the caller. */
    UNUSABLE,
    /** Events are passed on one by one. */
    EVENTS,
    /** The answer is kept until it is whole. */
    KEPT,
    /** The answer is too large to be kept. */
    PASSED
  }

  AnswerRelay(
      Forwarding forwarding,
      ForwardingHandler.Parts parts,
      Responder responder,
      boolean streaming) {
    this.forwarding = forwarding;
    this.names = parts.names();
    this.clock = parts.clock();
    this.lastHeard = clock.instant();
    this.responder = responder;
    this.streaming = streaming;
  }

  /** Prepares for the answer of another endpoint. */
  void begin() {
    splitter.reset();
    kept.reset();
    response = null;
    mode = null;
    begun = false;
    lastHeard = clock.instant();
  }

  /** Returns when the present endpoint was last heard, or asked. */
  Instant lastHeard() {
    return lastHeard;
  }

  /** Returns when the first part of the answer was passed on; now if none was. */
  Instant firstPassed() {
    return firstPassed == null ? clock.instant() : firstPassed;
  }

  boolean headSent() {
    return headSent;
  }

  long lastEventId() {
    return lastEventId;
  }

  @Override
  public WorkKind work() {
    return WorkKind.ANSWER;
  }

  @Override
  public void onResponse(HttpResponse answer) {
    response = answer;
    names.load().read(answer.headers()).ifPresent(forwarding::told);
    mode = modeOf(answer);
  }

  @Override
  public void onContent(ByteBuf content) {
    lastHeard = clock.instant();
    if (mode == Mode.EVENTS) {
      passAll(splitter.feed(content));
    } else if (mode == Mode.PASSED) {
      responder.part(content.readRetainedSlice(content.readableBytes()));
      pauseIfCongested();
    } else if (mode == Mode.KEPT) {
      keep(content);
    }
  }

  @Override
  public void onEnd() {
    HttpResponse answer = response;
    if (answer == null || mode == null) {
      forwarding.broken(true, "no answer");
      return;
    }
    int status = answer.status().code();
    switch (mode) {
      case NOT_RUN -> forwarding.notRun(status);
      case UNUSABLE ->
          forwarding.broken(true, "the answer bears no proof, or promises without one");
      case EVENTS -> endEvents(answer);
      case PASSED -> {
        responder.end();
        forwarding.answered(status);
      }
      default -> {
        responder.whole(status, ForwardedHeaders.toCaller(answer.headers()), kept.toByteArray());
        forwarding.answered(status);
      }
    }
  }

  @Override
  public void onFailure(boolean sent, String cause) {
    if (mode == Mode.NOT_RUN && response != null) {
      // The head said all; that the body broke off changes nothing.
      forwarding.notRun(response.status().code());
    } else {
      forwarding.broken(sent, cause);
    }
  }

  private Mode modeOf(HttpResponse answer) {
    int status = answer.status().code();
    HttpHeaders headers = answer.headers();
    if (headers.contains(names.notRun()) || status == 421) {
      return Mode.NOT_RUN;
    }
    boolean success = answer.status().codeClass() == HttpStatusClass.SUCCESS;
    boolean proven = headers.contains(names.signature());
    if (success && (!proven || headers.contains(HttpHeaderNames.CONTENT_ENCODING))) {
      return Mode.UNUSABLE;
    }
    if (NotRunStatuses.contains(status) || (headSent && !success)) {
      // An endpoint that did not run a request says so by a header of its own.
      return Mode.UNUSABLE;
    }
    if (status >= 500 && forwarding.mayRetryFailure()) {
      return Mode.UNUSABLE;
    }
    if (success && streaming) {
      return Mode.EVENTS;
    }
    return headSent ? Mode.UNUSABLE : Mode.KEPT;
  }

  private void keep(ByteBuf content) {
    byte[] bytes = new byte[content.readableBytes()];
    content.readBytes(bytes);
    kept.writeBytes(bytes);
    if (kept.size() > MAX_KEPT_BYTES) {
      sendHead();
      mode = Mode.PASSED;
      responder.part(Unpooled.wrappedBuffer(kept.toByteArray()));
      kept.reset();
      pauseIfCongested();
    }
  }

  private void passAll(List<StreamEvent> events) {
    for (StreamEvent event : events) {
      if (strays(event)) {
        mode = Mode.UNUSABLE;
        forwarding.strayed("event " + event.id() + " follows " + lastEventId);
        return;
      }
      begun |= event.id() >= 0;
      pass(event);
    }
  }

  /**
   * Returns whether an answer that was asked to go on begins elsewhere.
   *
   * <p>Failure: an endpoint begins anew, or its first event is spoiled on the way. It shows as a
   * stream of two runs, or with a gap, that ends well. Guard: such an answer counts as broken.
   */
  private boolean strays(StreamEvent event) {
    boolean first = !begun && event.id() >= 0;
    return first && lastEventId >= 0 && event.id() != lastEventId + 1;
  }

  private void pass(StreamEvent event) {
    if (lastEventId >= 0 && event.id() >= 0 && event.id() <= lastEventId) {
      // The caller has this event.
      return;
    }
    sendHead();
    if (event.id() >= 0) {
      lastEventId = event.id();
    }
    responder.part(Unpooled.wrappedBuffer(event.bytes()));
    pauseIfCongested();
  }

  private void endEvents(HttpResponse answer) {
    boolean framed =
        HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer);
    if (splitter.torn() || (!framed && lastEventId < 0)) {
      forwarding.broken(true, "the stream ended inside an event");
      return;
    }
    sendHead();
    responder.end();
    forwarding.answered(answer.status().code());
  }

  private void sendHead() {
    HttpResponse answer = response;
    if (!headSent && answer != null) {
      headSent = true;
      firstPassed = clock.instant();
      HttpHeaders headers = ForwardedHeaders.toCaller(answer.headers());
      if (streaming) {
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
      }
      responder.head(answer.status().code(), headers);
    }
  }

  private void pauseIfCongested() {
    if (responder.congested()) {
      forwarding.pause();
    }
  }
}

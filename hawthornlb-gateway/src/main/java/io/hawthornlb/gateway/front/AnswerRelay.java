package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.crash.GuardedRun;
import io.hawthornlb.gateway.loop.WorkKind;
import io.hawthornlb.gateway.wire.AnswerFraming;
import io.hawthornlb.gateway.wire.AnswerLimits;
import io.hawthornlb.gateway.wire.AnswerPart;
import io.hawthornlb.gateway.wire.ByteBudget;
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
import java.io.ByteArrayOutputStream;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Forwards an endpoint's response to the caller.
 *
 * <p>The relay forwards a stream event by event as the events arrive. It buffers any other response
 * until the response is complete, so that a response that breaks off can be replaced by that of
 * another endpoint. A response larger than the buffer limit is forwarded in parts as they arrive.
 */
final class AnswerRelay implements EndpointCallListener {

  /** Size limit of a buffered response in bytes; most responses are under 5 KiB. */
  private static final int MAX_BUFFERED_BYTES = 65_536;

  private final Forwarding forwarding;
  private final GuardedRun run;
  private final HeaderNames names;
  private final InstantSource clock;
  private final Responder responder;
  private final boolean streaming;
  private final EventSplitter splitter = new EventSplitter();
  private final ByteBudget unused = new ByteBudget(AnswerLimits.UNUSED_BODY_BYTES);
  private final ByteArrayOutputStream comments = new ByteArrayOutputStream(0);
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private @Nullable HttpResponse response;
  private @Nullable Mode mode;
  private boolean headSent;
  private long lastEventId = -1;
  private boolean eventSeen;
  private boolean admitted;
  private Instant lastHeard;
  private @Nullable Instant firstForwarded;

  /** How the relay treats the current endpoint's response. */
  private enum Mode {
    /** The endpoint reports that it did not run the request. */
    NOT_RUN,
    /** The response must not reach the caller. */
    UNUSABLE,
    /** Events are forwarded one by one. */
    EVENTS,
    /** The response is buffered until it is complete. */
    BUFFERED,
    /** The response is too large for the buffer and is forwarded in parts. */
    FORWARDED
  }

  AnswerRelay(
      Forwarding forwarding,
      GuardedRun run,
      ForwardingHandler.Parts parts,
      Responder responder,
      boolean streaming) {
    this.forwarding = forwarding;
    this.run = run;
    this.names = parts.names();
    this.clock = parts.clock();
    this.lastHeard = clock.instant();
    this.responder = responder;
    this.streaming = streaming;
  }

  /** Resets the state for the response of another endpoint. */
  void begin() {
    splitter.reset();
    unused.restart(0);
    comments.reset();
    buffer.reset();
    response = null;
    mode = null;
    eventSeen = false;
    admitted = false;
    lastHeard = clock.instant();
  }

  /** Returns when the current endpoint last sent bytes, or when the request was sent to it. */
  Instant lastHeard() {
    return lastHeard;
  }

  /** Returns when the first part of the response was forwarded; the current time if none was. */
  Instant firstForwarded() {
    return firstForwarded == null ? clock.instant() : firstForwarded;
  }

  /** Sets the last event that the caller has from earlier attempts; negative if it has none. */
  void resumeAfter(long eventId) {
    lastEventId = eventId;
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
    names.load().read(answer.headers()).ifPresent(forwarding::onLoadReported);
    mode = modeOf(answer);
  }

  @Override
  public void onContent(ByteBuf content) {
    if (mode == Mode.EVENTS) {
      onEventBytes(content);
      return;
    }
    if (mode == Mode.UNUSABLE || mode == Mode.NOT_RUN) {
      // Bytes that nobody gets are no progress: an endpoint may send them without end.
      unused.use(content.readableBytes());
      if (unused.exceeded()) {
        forwarding.onTooLong(AnswerPart.BODY, unused.used());
      }
      return;
    }
    lastHeard = clock.instant();
    if (mode == Mode.FORWARDED) {
      responder.part(content.readRetainedSlice(content.readableBytes()));
      pauseIfCongested();
    } else if (mode == Mode.BUFFERED) {
      keep(content);
    }
  }

  @Override
  public void onEnd() {
    HttpResponse answer = response;
    if (answer == null || mode == null) {
      forwarding.onFailed(true, "no answer");
      return;
    }
    int status = answer.status().code();
    switch (mode) {
      case NOT_RUN -> forwarding.onNotRun(status);
      case UNUSABLE ->
          forwarding.onFailed(
              true,
              "the response is unsigned, or claims without the marker header that nothing ran");
      case EVENTS -> endEvents(answer);
      case FORWARDED -> {
        responder.end();
        forwarding.onAnswered(status);
      }
      default -> {
        run.begun();
        responder.whole(status, ForwardedHeaders.toCaller(answer.headers()), buffer.toByteArray());
        forwarding.onAnswered(status);
      }
    }
  }

  @Override
  public void onFailure(boolean sent, String cause) {
    if (mode == Mode.NOT_RUN && response != null && unused.exceeded()) {
      // The endpoint's refusal was sound as far as it was read; this side ended it for its size.
      forwarding.onNotRun(response.status().code());
    } else {
      if (sent) {
        run.broken();
      } else {
        run.notRun();
      }
      forwarding.onFailed(sent, cause);
    }
  }

  private Mode modeOf(HttpResponse answer) {
    int status = answer.status().code();
    HttpHeaders headers = answer.headers();
    if (headers.contains(names.notRun()) || status == 421) {
      return Mode.NOT_RUN;
    }
    boolean success = answer.status().codeClass() == HttpStatusClass.SUCCESS;
    boolean signed = headers.contains(names.signature());
    if (success && (!signed || headers.contains(HttpHeaderNames.CONTENT_ENCODING))) {
      return Mode.UNUSABLE;
    }
    if (NotRunStatuses.contains(status) || (headSent && !success)) {
      // An endpoint that did not run a request sends the marker header, which was checked above.
      // Without it, such a status must not reach the caller.
      return Mode.UNUSABLE;
    }
    if (status >= 500 && forwarding.mayRetryFailure()) {
      return Mode.UNUSABLE;
    }
    if (success && streaming) {
      return Mode.EVENTS;
    }
    return headSent ? Mode.UNUSABLE : Mode.BUFFERED;
  }

  private void onEventBytes(ByteBuf content) {
    List<StreamEvent> events = splitter.feed(content);
    if (!events.isEmpty()) {
      // Bytes that complete no event are no progress: an endpoint may send them without end.
      lastHeard = clock.instant();
    }
    forwardAll(events);
    if (mode == Mode.EVENTS && splitter.tooLong()) {
      forwarding.onTooLong(AnswerPart.EVENT, splitter.bytesWithoutEvent());
    }
  }

  private void keep(ByteBuf content) {
    byte[] bytes = new byte[content.readableBytes()];
    content.readBytes(bytes);
    buffer.writeBytes(bytes);
    if (buffer.size() > MAX_BUFFERED_BYTES) {
      run.begun();
      sendHead();
      mode = Mode.FORWARDED;
      responder.part(Unpooled.wrappedBuffer(buffer.toByteArray()));
      buffer.reset();
      pauseIfCongested();
    }
  }

  private void forwardAll(List<StreamEvent> events) {
    if (events.stream().anyMatch(event -> !event.isComment())) {
      run.begun();
    }
    for (StreamEvent event : events) {
      admitted = admitted || forwarding.admitsEvents();
      if (!admitted) {
        mode = Mode.UNUSABLE;
        forwarding.onSequenceBreak("the events are those of another version");
        return;
      }
      if (breaksSequence(event)) {
        mode = Mode.UNUSABLE;
        forwarding.onSequenceBreak("event " + event.id() + " follows event " + lastEventId);
        return;
      }
      eventSeen |= event.id() >= 0;
      if (event.isComment()) {
        comments.writeBytes(event.bytes());
      } else {
        forwardComments();
        forward(event);
      }
    }
    forwardComments();
  }

  /** Forwards comments that came together as one part, since an endpoint may send very many. */
  private void forwardComments() {
    if (comments.size() > 0) {
      sendHead();
      responder.part(Unpooled.wrappedBuffer(comments.toByteArray()));
      comments.reset();
      pauseIfCongested();
    }
  }

  /**
   * Returns whether a resumed stream does not continue directly after the last forwarded event.
   *
   * <p>An endpoint may restart the stream from its beginning, or the first event may be corrupted
   * in transit. The caller would receive a stream that mixes two runs or has a gap, and that still
   * ends normally. The relay therefore treats such a response as failed.
   */
  private boolean breaksSequence(StreamEvent event) {
    boolean first = !eventSeen && event.id() >= 0;
    return first && lastEventId >= 0 && event.id() != lastEventId + 1;
  }

  private void forward(StreamEvent event) {
    if (lastEventId >= 0 && event.id() >= 0 && event.id() <= lastEventId) {
      // The caller has this event already.
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
    // The end of an unframed response without events says nothing: the endpoint may have crashed.
    boolean empty = !AnswerFraming.isFramed(answer) && !run.hasBegun();
    if (splitter.hasPartialEvent() || empty) {
      run.broken();
      forwarding.onFailed(true, empty ? "no event came" : "the stream ended inside an event");
      return;
    }
    sendHead();
    responder.end();
    forwarding.onAnswered(answer.status().code());
  }

  private void sendHead() {
    HttpResponse answer = response;
    if (!headSent && answer != null) {
      headSent = true;
      firstForwarded = clock.instant();
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

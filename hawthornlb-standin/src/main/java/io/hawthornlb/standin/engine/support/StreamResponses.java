package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.StreamListener;
import io.hawthornlb.standin.support.WireJson;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.sse.Event;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.scheduler.Schedulers;

/** Converts token streams to HTTP responses. */
final class StreamResponses {

  private static final String DONE = "[DONE]";

  private StreamResponses() {}

  /**
   * Returns a response that sends the tokens from index {@code from} on as server-sent events.
   *
   * @param eventLoop the event loop of the connection
   */
  static HttpResponse<Flux<Event<String>>> events(
      TokenStream stream, int from, Executor eventLoop) {
    Flux<Event<String>> events =
        Flux.create(
            sink -> {
              SinkListener listener = new SinkListener(stream, sink);
              sink.onDispose(() -> stream.unsubscribe(listener));
              stream.subscribe(from, listener);
            });
    // Tokens are published on the event loop of the connection. On another thread, a token that
    // arrives while the caller disconnects would be written to a response that no longer exists,
    // which the server logs as an error.
    Flux<Event<String>> onEventLoop = events.publishOn(Schedulers.fromExecutor(eventLoop));
    return HttpResponse.ok(onEventLoop).contentType(MediaType.TEXT_EVENT_STREAM_TYPE);
  }

  /** Returns a future of the complete answer, or of an error if the stream is cancelled. */
  static CompletableFuture<HttpResponse<?>> whole(TokenStream stream) {
    CompletableFuture<HttpResponse<?>> answer = new CompletableFuture<>();
    stream.subscribe(
        stream.total(),
        new StreamListener() {
          @Override
          public void token(int index) {}

          @Override
          public void end(Ending ending) {
            answer.complete(
                ending == Ending.COMPLETE
                    ? WireJson.ok(ChatWire.whole(stream))
                    : WireJson.error(HttpStatus.GONE, "the request was cancelled"));
          }
        });
    return answer;
  }

  private record SinkListener(TokenStream stream, FluxSink<Event<String>> sink)
      implements StreamListener {

    @Override
    public void token(int index) {
      sink.next(Event.of(ChatWire.token(stream, index)));
    }

    @Override
    public void end(Ending ending) {
      if (ending == Ending.COMPLETE) {
        sink.next(Event.of(ChatWire.end(stream)));
        sink.next(Event.of(DONE));
      }
      // A cancelled stream ends without the DONE event, so that no reader takes it for complete.
      sink.complete();
    }
  }
}

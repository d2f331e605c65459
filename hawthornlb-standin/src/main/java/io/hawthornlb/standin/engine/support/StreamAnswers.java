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

/** Turns streams of tokens into HTTP answers. */
final class StreamAnswers {

  private static final String DONE = "[DONE]";

  private StreamAnswers() {}

  /**
   * Returns server-sent events for the tokens from an index on.
   *
   * @param eventLoop the thread of the connection
   */
  static HttpResponse<Flux<Event<String>>> events(
      TokenStream stream, int from, Executor eventLoop) {
    Flux<Event<String>> events =
        Flux.create(
            sink -> {
              SinkListener listener = new SinkListener(stream, sink);
              sink.onDispose(() -> stream.leave(listener));
              stream.read(from, listener);
            });
    // Tokens change to the thread of the connection here. Otherwise one that comes while a caller
    // hangs up reaches a response that is gone, which the server logs as an error.
    Flux<Event<String>> onEventLoop = events.publishOn(Schedulers.fromExecutor(eventLoop));
    return HttpResponse.ok(onEventLoop).contentType(MediaType.TEXT_EVENT_STREAM_TYPE);
  }

  /** Completes with the whole answer, or with an error when the stream is cancelled. */
  static CompletableFuture<HttpResponse<?>> whole(TokenStream stream) {
    CompletableFuture<HttpResponse<?>> answer = new CompletableFuture<>();
    stream.read(
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
      // A cancelled stream ends without the mark of the end, so that no reader takes it for whole.
      sink.complete();
    }
  }
}

package io.hawthornlb.app.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.app.dispatch.ChatCall;
import io.hawthornlb.app.dispatch.ChatService;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.net.endpoint.EndpointResponse;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.sse.Event;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** HTTP API for chat completions, answered in one body or as a stream of server-sent events. */
@Controller("/v1/chat/completions")
@Requires(property = "hawthornlb.role", value = "entry")
public class ChatController {

  private final Authenticator authenticator;
  private final CatalogueSource catalogue;
  private final ChatService chat;
  private final ChatCallReader reader;

  /** Creates the controller. */
  public ChatController(
      Authenticator authenticator,
      CatalogueSource catalogue,
      ChatService chat,
      ObjectMapper mapper) {
    this.authenticator = authenticator;
    this.catalogue = catalogue;
    this.chat = chat;
    this.reader = new ChatCallReader(mapper);
  }

  /** Completes one chat; streams the completion if the request sets {@code stream}. */
  @Post(consumes = MediaType.ALL, produces = MediaType.ALL)
  public Publisher<MutableHttpResponse<?>> complete(
      HttpRequest<?> request, @Body @Nullable byte[] body) {
    byte[] content = body == null ? new byte[0] : body;
    Either<Refusal, ChatCall> call =
        authenticator
            .workspace(request)
            .flatMap(workspace -> reader.read(content, workspace, catalogue.current().catalogue()));
    if (call.isLeft()) {
      return Mono.just(ProblemResponses.of(call.getLeft()));
    }
    return call.get().stream() ? stream(call.get()) : completeInOneBody(call.get());
  }

  private Mono<MutableHttpResponse<?>> completeInOneBody(ChatCall call) {
    return chat.complete(call)
        .<MutableHttpResponse<?>>map(ChatController::response)
        .onErrorResume(error -> Mono.just(ProblemResponses.of(error)));
  }

  private static MutableHttpResponse<?> response(EndpointResponse answer) {
    return HttpResponse.status(answer.status(), "")
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .body(answer.body());
  }

  private Mono<MutableHttpResponse<?>> stream(ChatCall call) {
    return chat.stream(call)
        .<MutableHttpResponse<?>>map(ChatController::eventStream)
        .onErrorResume(error -> Mono.just(ProblemResponses.of(error)));
  }

  private static MutableHttpResponse<?> eventStream(Flux<String> events) {
    return HttpResponse.ok(events.map(Event::of)).contentType(MediaType.TEXT_EVENT_STREAM_TYPE);
  }
}

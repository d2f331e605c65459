package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.ChatRequest;
import io.hawthornlb.standin.engine.EngineStandin;
import io.hawthornlb.standin.support.StandinServer;
import io.hawthornlb.standin.support.WireJson;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Chat completions and their streams over HTTP. */
@Controller("/v1")
@Requires(property = StandinServer.ROLE_PROPERTY, value = EngineStandin.ROLE)
final class ChatController {

  private final EngineEmulator engine;

  ChatController(EngineEmulator engine) {
    this.engine = engine;
  }

  record Cancelled(int generated) {}

  @Post("/chat/completions")
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<?>> complete(
      @Header("X-Request-Id") @Nullable String requestId, @Body byte[] body) {
    ChatRequest request = WireJson.read(body, ChatRequest.class);
    String id = requestId == null ? UUID.randomUUID().toString() : requestId;
    TokenStream stream = engine.submit(request, id);
    return request.stream()
        ? CompletableFuture.completedFuture(StreamAnswers.events(stream, 0))
        : StreamAnswers.whole(stream);
  }

  @Get("/streams/{requestId}")
  CompletableFuture<HttpResponse<?>> resume(
      @PathVariable String requestId, @QueryValue(defaultValue = "0") int from) {
    Optional<TokenStream> stream = engine.resume(requestId);
    HttpResponse<?> answer =
        stream.isPresent() ? StreamAnswers.events(stream.get(), from) : unknown(requestId);
    return CompletableFuture.completedFuture(answer);
  }

  @Delete("/streams/{requestId}")
  HttpResponse<byte[]> cancel(@PathVariable String requestId) {
    return engine
        .cancel(requestId)
        .<HttpResponse<byte[]>>map(generated -> WireJson.ok(new Cancelled(generated)))
        .orElseGet(() -> unknown(requestId));
  }

  static HttpResponse<byte[]> unknown(String requestId) {
    return WireJson.error(HttpStatus.NOT_FOUND, "no request " + requestId);
  }
}

package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.ChatRequest;
import io.hawthornlb.standin.engine.EngineStandin;
import io.hawthornlb.standin.support.StandinServer;
import io.hawthornlb.standin.support.WireJson;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
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
import io.micronaut.http.server.netty.NettyHttpRequest;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/** Serves chat completions and their streams over HTTP. */
@Controller("/v1")
@Requires(property = StandinServer.ROLE_PROPERTY, value = EngineStandin.ROLE)
final class ChatController {

  private final EngineEmulator engine;

  ChatController(EngineEmulator engine) {
    this.engine = engine;
  }

  /** The response to a cancellation: the number of tokens generated so far. */
  record Cancelled(int generated) {}

  @Post(uri = "/chat/completions", produces = MediaType.ALL)
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<?>> complete(
      HttpRequest<?> http, @Header("X-Request-Id") @Nullable String requestId, @Body byte[] body) {
    ChatRequest request = WireJson.read(body, ChatRequest.class);
    String id = requestId == null ? UUID.randomUUID().toString() : requestId;
    TokenStream stream = engine.submit(request, id);
    return request.stream()
        ? CompletableFuture.completedFuture(StreamResponses.events(stream, 0, eventLoop(http)))
        : StreamResponses.whole(stream);
  }

  @Get(uri = "/streams/{requestId}", produces = MediaType.ALL)
  CompletableFuture<HttpResponse<?>> resume(
      HttpRequest<?> http,
      @PathVariable String requestId,
      @QueryValue(defaultValue = "0") int from) {
    Optional<TokenStream> stream = engine.resume(requestId);
    HttpResponse<?> answer =
        stream.isPresent()
            ? StreamResponses.events(stream.get(), from, eventLoop(http))
            : unknown(requestId);
    return CompletableFuture.completedFuture(answer);
  }

  @Delete("/streams/{requestId}")
  HttpResponse<byte[]> cancel(@PathVariable String requestId) {
    return engine
        .cancel(requestId)
        .<HttpResponse<byte[]>>map(generated -> WireJson.ok(new Cancelled(generated)))
        .orElseGet(() -> unknown(requestId));
  }

  private static Executor eventLoop(HttpRequest<?> http) {
    return ((NettyHttpRequest<?>) http).getChannelHandlerContext().channel().eventLoop();
  }

  static HttpResponse<byte[]> unknown(String requestId) {
    return WireJson.error(HttpStatus.NOT_FOUND, "no request " + requestId);
  }
}

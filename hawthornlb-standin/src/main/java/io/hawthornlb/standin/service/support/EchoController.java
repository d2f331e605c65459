package io.hawthornlb.standin.service.support;

import io.hawthornlb.standin.service.ServiceStandin;
import io.hawthornlb.standin.support.StandinServer;
import io.hawthornlb.standin.support.WireJson;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Patch;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Passes calls with any path to the echo service. */
@Controller
@Requires(property = StandinServer.ROLE_PROPERTY, value = ServiceStandin.ROLE)
final class EchoController {

  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final byte[] EMPTY_BODY = {};

  private final EchoService service;

  EchoController(EchoService service) {
    this.service = service;
  }

  @Get(uris = {"/", "/{+path}"})
  CompletableFuture<HttpResponse<byte[]>> get(HttpRequest<?> request) {
    return run(request, null);
  }

  @Post(uris = {"/", "/{+path}"})
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<byte[]>> post(
      HttpRequest<?> request, @Body byte @Nullable [] body) {
    return run(request, body);
  }

  @Put(uris = {"/", "/{+path}"})
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<byte[]>> put(
      HttpRequest<?> request, @Body byte @Nullable [] body) {
    return run(request, body);
  }

  @Patch(uris = {"/", "/{+path}"})
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<byte[]>> patch(
      HttpRequest<?> request, @Body byte @Nullable [] body) {
    return run(request, body);
  }

  @Delete(uris = {"/", "/{+path}"})
  CompletableFuture<HttpResponse<byte[]>> delete(HttpRequest<?> request) {
    return run(request, null);
  }

  private CompletableFuture<HttpResponse<byte[]>> run(
      HttpRequest<?> request, byte @Nullable [] body) {
    String key = request.getHeaders().get(IDEMPOTENCY_KEY);
    return service
        .run(
            request.getMethodName(),
            request.getUri().toString(),
            key == null ? "" : key,
            body == null ? EMPTY_BODY : body)
        .thenApply(WireJson::ok);
  }
}

package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.EngineOrder;
import io.hawthornlb.standin.engine.EngineStandin;
import io.hawthornlb.standin.engine.KvExport;
import io.hawthornlb.standin.support.StandinServer;
import io.hawthornlb.standin.support.WireJson;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;

/** Serves load reports, cache events, KV exports, orders and the engine state over HTTP. */
@Controller("/v1")
@Requires(property = StandinServer.ROLE_PROPERTY, value = EngineStandin.ROLE)
final class EngineController {

  private final EngineEmulator engine;

  EngineController(EngineEmulator engine) {
    this.engine = engine;
  }

  @Get("/load")
  HttpResponse<byte[]> load() {
    return WireJson.ok(engine.load());
  }

  @Get("/cache-events")
  HttpResponse<byte[]> cacheEvents(@QueryValue(defaultValue = "0") long from) {
    return WireJson.ok(engine.cacheEvents(from));
  }

  @Get("/kv/{requestId}")
  HttpResponse<byte[]> exportKv(@PathVariable String requestId) {
    return engine
        .export(requestId)
        .<HttpResponse<byte[]>>map(WireJson::ok)
        .orElseGet(() -> ChatController.unknown(requestId));
  }

  @Post("/kv/{requestId}")
  @Consumes(MediaType.ALL)
  HttpResponse<byte[]> importKv(@PathVariable String requestId, @Body byte[] body) {
    engine.importStream(requestId, WireJson.read(body, KvExport.class));
    return HttpResponse.noContent();
  }

  @Post("/orders")
  @Consumes(MediaType.ALL)
  HttpResponse<byte[]> order(@Body byte[] body) {
    engine.order(WireJson.read(body, EngineOrder.class));
    return HttpResponse.status(HttpStatus.ACCEPTED);
  }

  @Get("/state")
  HttpResponse<byte[]> state() {
    return WireJson.ok(engine.state());
  }
}

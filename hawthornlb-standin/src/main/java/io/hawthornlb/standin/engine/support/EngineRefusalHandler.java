package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.EngineRefusalException;
import io.hawthornlb.standin.engine.EngineStandin;
import io.hawthornlb.standin.support.StandinServer;
import io.hawthornlb.standin.support.WireJson;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.server.exceptions.ExceptionHandler;
import jakarta.inject.Singleton;

/** Turns an {@link EngineRefusalException} into an error response with its status. */
@Singleton
@Requires(property = StandinServer.ROLE_PROPERTY, value = EngineStandin.ROLE)
final class EngineRefusalHandler
    implements ExceptionHandler<EngineRefusalException, HttpResponse<byte[]>> {

  @Override
  public HttpResponse<byte[]> handle(
      @SuppressWarnings("rawtypes") HttpRequest request, EngineRefusalException exception) {
    return WireJson.error(exception.status(), exception.getMessage());
  }
}

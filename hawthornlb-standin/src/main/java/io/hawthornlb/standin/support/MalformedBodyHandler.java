package io.hawthornlb.standin.support;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.server.exceptions.ExceptionHandler;
import jakarta.inject.Singleton;

/** Turns a {@link MalformedBodyException} into a response with status 400. */
@Singleton
@Requires(property = StandinServer.STANDIN_PROPERTY)
final class MalformedBodyHandler
    implements ExceptionHandler<MalformedBodyException, HttpResponse<byte[]>> {

  @Override
  public HttpResponse<byte[]> handle(
      @SuppressWarnings("rawtypes") HttpRequest request, MalformedBodyException exception) {
    return WireJson.error(HttpStatus.BAD_REQUEST, exception.getMessage());
  }
}

package io.hawthornlb.standin.support;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.ResponseFilter;
import io.micronaut.http.annotation.ServerFilter;

/** Echoes the id by which callers tell the answer to a request from late copies of others. */
@ServerFilter(ServerFilter.MATCH_ALL_PATTERN)
@Requires(property = StandinServer.STANDIN_PROPERTY)
final class ExchangeIdFilter {

  private static final String HEADER = "X-Exchange-Id";

  /** Copies the id of a request to its response. */
  @ResponseFilter
  void echo(HttpRequest<?> request, MutableHttpResponse<?> response) {
    String id = request.getHeaders().get(HEADER);
    if (id != null) {
      response.header(HEADER, id);
    }
  }
}

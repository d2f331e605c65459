package io.hawthornlb.app.dispatch;

import io.hawthornlb.net.endpoint.EndpointResponse;
import reactor.core.publisher.Mono;

/** Serves calls to plain services; one that is not served fails with {@link RefusalException}. */
public interface PlainService {

  /** Returns the whole answer. */
  Mono<EndpointResponse> call(PlainCall call);
}

package io.hawthornlb.app.dispatch;

import io.hawthornlb.net.endpoint.EndpointResponse;
import reactor.core.publisher.Mono;

/** Serves calls to plain services. A refused call fails with {@link RefusalException}. */
public interface PlainService {

  /** Returns the complete answer. */
  Mono<EndpointResponse> call(PlainCall call);
}

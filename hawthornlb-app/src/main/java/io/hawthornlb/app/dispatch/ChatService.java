package io.hawthornlb.app.dispatch;

import io.hawthornlb.net.endpoint.EndpointResponse;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Serves chat completions. A refused request fails with {@link RefusalException}. */
public interface ChatService {

  /** Returns the complete answer of a request that is not streamed. */
  Mono<EndpointResponse> complete(ChatCall call);

  /**
   * Returns the token stream once its first event has arrived.
   *
   * <p>The stream emits the data of each event; the end marker comes last. A stream that fails
   * after its first event ends with an error and without the end marker, so that no client takes a
   * partial answer for a complete one.
   */
  Mono<Flux<String>> stream(ChatCall call);
}

package io.hawthornlb.app.dispatch;

import io.hawthornlb.net.endpoint.EndpointResponse;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Serves chat completions; a request that is not served fails with {@link RefusalException}. */
public interface ChatService {

  /** Returns the whole answer. */
  Mono<EndpointResponse> complete(ChatCall call);

  /**
   * Returns the token stream once its first event is there.
   *
   * <p>The stream gives the data of each event, the end marker last. One that fails later ends with
   * an error and without the end marker, so that a part is never taken for the whole.
   */
  Mono<Flux<String>> stream(ChatCall call);
}

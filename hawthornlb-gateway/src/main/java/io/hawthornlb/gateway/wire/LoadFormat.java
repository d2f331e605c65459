package io.hawthornlb.gateway.wire;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Reads the load that endpoints tell with their answers. */
public interface LoadFormat {

  /** Returns the load that an answer's headers tell; empty if they tell none. */
  Optional<ToldLoad> read(HttpHeaders headers);
}

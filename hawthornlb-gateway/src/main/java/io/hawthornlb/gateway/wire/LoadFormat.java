package io.hawthornlb.gateway.wire;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Reads the load that endpoints report in their responses. */
public interface LoadFormat {

  /** Returns the load that the headers of a response report; empty if they report none. */
  Optional<ReportedLoad> read(HttpHeaders headers);
}

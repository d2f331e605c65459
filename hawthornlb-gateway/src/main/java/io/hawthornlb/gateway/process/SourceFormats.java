package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.route.RoutingConfig;

/** Location and encoding of the configuration and the endpoints in the store. */
public interface SourceFormats {

  /** Returns the keyed topic of the configuration. */
  String configTopic();

  /** Returns the key of the current configuration. */
  String configKey();

  /** Returns the keyed topic of the endpoints; the key is the id of the endpoint. */
  String endpointTopic();

  /**
   * Decodes a configuration completely.
   *
   * @throws UnreadableException if any part cannot be read; names the place
   */
  RoutingConfig config(byte[] value);

  /**
   * Decodes the entry of an endpoint.
   *
   * @throws UnreadableException if the value is no valid entry; names the place
   */
  EndpointRecord endpoint(String id, byte[] value);
}

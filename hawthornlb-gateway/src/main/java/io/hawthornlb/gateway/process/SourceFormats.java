package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.route.RoutingConfig;

/** Where the store keeps configuration and endpoints, and how they are written there. */
public interface SourceFormats {

  /** Returns the keyed topic that holds the configuration. */
  String configTopic();

  /** Returns the key of the newest configuration. */
  String configKey();

  /** Returns the keyed topic that holds the endpoints by their ids. */
  String endpointTopic();

  /**
   * Reads a configuration, as a whole or not at all.
   *
   * @throws UnreadableException if it cannot be read, with the place
   */
  RoutingConfig config(byte[] value);

  /**
   * Reads an endpoint's entry.
   *
   * @throws UnreadableException if it names no endpoint, with the place
   */
  EndpointRecord endpoint(String id, byte[] value);
}

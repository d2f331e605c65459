package io.hawthornlb.gateway.process;

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
   * Reads a configuration.
   *
   * @throws IllegalArgumentException if it cannot be read; the message says where
   */
  RoutingConfig config(byte[] value);

  /**
   * Reads an endpoint's entry.
   *
   * @throws IllegalArgumentException if it cannot be read; the message says where
   */
  EndpointRecord endpoint(String id, byte[] value);
}

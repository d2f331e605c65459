package io.hawthornlb.core.pace;

import java.util.Map;

/**
 * Long-term paces of the endpoints of one service, as a snapshot that another table can start from.
 *
 * <p>A pace belongs to the incarnation of the endpoint that was running at the time of the
 * snapshot. Whoever keeps a snapshot must drop the endpoints that have restarted since.
 *
 * @param byEndpoint pace by endpoint id
 */
public record LearnedPaces(Map<String, LearnedPace> byEndpoint) {

  /** Nothing learned. */
  public static final LearnedPaces NONE = new LearnedPaces(Map.of());

  /** Copies the map. */
  public LearnedPaces {
    byEndpoint = Map.copyOf(byEndpoint);
  }
}

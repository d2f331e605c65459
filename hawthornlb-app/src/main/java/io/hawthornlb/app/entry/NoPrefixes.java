package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.routing.PrefixEvent;
import io.hawthornlb.core.routing.PrefixIndex;
import java.time.Instant;
import java.util.Collection;
import java.util.List;

/** Knows no prefix. */
final class NoPrefixes implements PrefixIndex {

  @Override
  public void onEvents(EndpointId endpoint, List<PrefixEvent> events, Instant now) {}

  @Override
  public void onRouted(EndpointId endpoint, List<String> prefixes, Instant now) {}

  @Override
  public void onLost(EndpointId endpoint) {}

  @Override
  public Collection<EndpointId> holders(String prefix, Instant now) {
    return List.of();
  }

  @Override
  public double confidence(EndpointId endpoint, String prefix, Instant now) {
    return 0;
  }
}

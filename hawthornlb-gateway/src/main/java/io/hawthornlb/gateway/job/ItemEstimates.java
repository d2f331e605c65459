package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.slot.SchedulingSettings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Estimates of the items that this process runs, for each service where they are in effect. */
public final class ItemEstimates {

  private final SchedulingSettings settings;
  private final Set<String> pacedServices = new HashSet<>();
  private final Map<String, ItemEstimate> byService = new HashMap<>();

  /** Creates the estimates of a process that has run no items yet. */
  public ItemEstimates(SchedulingSettings settings) {
    this.settings = settings;
  }

  /** Records that an endpoint of a service reports its pace. */
  void paceReported(String service) {
    pacedServices.add(service);
  }

  /** Returns whether the items of any service are estimated by their sizes. */
  boolean inEffect() {
    return settings.contended() || !pacedServices.isEmpty();
  }

  /** Returns the estimate of a service; empty if items are estimated by their mean run time. */
  Optional<ItemEstimate> of(String service) {
    if (!settings.contended() && !pacedServices.contains(service)) {
      return Optional.empty();
    }
    return Optional.of(byService.computeIfAbsent(service, name -> new ItemEstimate()));
  }
}

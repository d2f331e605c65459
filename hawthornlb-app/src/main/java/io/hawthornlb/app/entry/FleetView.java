package io.hawthornlb.app.entry;

import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The entry instances in the last list of the platform. Always includes this instance. */
public final class FleetView {

  private final InstanceId self;
  private final DataCentre dataCentre;
  private volatile Map<InstanceId, DataCentre> entries;

  /** Creates a view that contains only this instance. */
  public FleetView(InstanceId self, DataCentre dataCentre) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.entries = Map.of(self, dataCentre);
  }

  /** Replaces the entry instances by those in a list of the platform. */
  public void update(List<ListedProcess> processes) {
    Map<InstanceId, DataCentre> listed = new TreeMap<>();
    for (ListedProcess process : processes) {
      if (process.kind() == ListedKind.ENTRY) {
        listed.put(new InstanceId(process.id()), process.dataCentre());
      }
    }
    listed.put(self, dataCentre);
    entries = Map.copyOf(listed);
  }

  /** Returns this instance. */
  public InstanceId self() {
    return self;
  }

  /** Returns the data centre of this instance. */
  public DataCentre dataCentre() {
    return dataCentre;
  }

  /** Returns all entry instances with their data centres. */
  public Map<InstanceId, DataCentre> entries() {
    return entries;
  }

  /** Returns the entry instances of a data centre. */
  public Set<InstanceId> in(DataCentre place) {
    return entries.entrySet().stream()
        .filter(entry -> entry.getValue().equals(place))
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the data centres that have entry instances. */
  public Set<DataCentre> dataCentres() {
    return Set.copyOf(entries.values());
  }
}

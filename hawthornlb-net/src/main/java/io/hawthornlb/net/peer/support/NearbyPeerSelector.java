package io.hawthornlb.net.peer.support;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.util.Checks;
import io.hawthornlb.net.peer.PeerSelector;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects a bounded number of peers, those of the same data centre first.
 *
 * <p>In a large fleet, connections from every instance to every other would cost more than the
 * messages on them. Peers are ranked by a hash of both instance ids, so that the instances do not
 * all select the same peers.
 */
public final class NearbyPeerSelector implements PeerSelector {

  private final InstanceId self;
  private final DataCentre dataCentre;
  private final int limit;

  /** Creates a selector of at most {@code limit} peers. */
  public NearbyPeerSelector(InstanceId self, DataCentre dataCentre, int limit) {
    Checks.isTrue(limit > 0, "limit must be positive");
    this.self = self;
    this.dataCentre = dataCentre;
    this.limit = limit;
  }

  @Override
  public Set<InstanceId> select(List<ListedProcess> entries) {
    Comparator<ListedProcess> byPlace =
        Comparator.comparing(entry -> !entry.dataCentre().equals(dataCentre));
    return entries.stream()
        .sorted(byPlace.thenComparing(this::rank))
        .limit(limit)
        .map(entry -> new InstanceId(entry.id()))
        .collect(Collectors.toUnmodifiableSet());
  }

  private long rank(ListedProcess entry) {
    return Hashing.wyhashFinal4().hashCharsToLong(self.value() + "/" + entry.id());
  }
}

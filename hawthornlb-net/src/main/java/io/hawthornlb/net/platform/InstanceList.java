package io.hawthornlb.net.platform;

import io.hawthornlb.core.membership.ListedProcess;
import java.time.Instant;
import java.util.List;

/**
 * The platform's list of live and leaving processes, which lags behind their real state.
 *
 * @param asOf the time at which the list was current, by the platform's clock
 * @param processes the entry instances and endpoints
 */
public record InstanceList(Instant asOf, List<ListedProcess> processes) {

  /** Copies the processes. */
  public InstanceList {
    processes = List.copyOf(processes);
  }
}

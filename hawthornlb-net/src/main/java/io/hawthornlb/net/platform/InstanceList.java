package io.hawthornlb.net.platform;

import io.hawthornlb.core.membership.ListedProcess;
import java.time.Instant;
import java.util.List;

/**
 * The platform's list of live and leaving processes, which lags.
 *
 * @param asOf the time at which the list was true, by the platform's clock
 * @param processes entries and endpoints
 */
public record InstanceList(Instant asOf, List<ListedProcess> processes) {

  /** Copies the processes. */
  public InstanceList {
    processes = List.copyOf(processes);
  }
}

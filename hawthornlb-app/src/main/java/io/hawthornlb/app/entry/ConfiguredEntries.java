package io.hawthornlb.app.entry;

import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The entry instances named in the settings, which are added to every list that omits them.
 *
 * <p>A list may be older than an entry instance. An instance that starts while the platform is
 * unreachable may receive such a list from its only peer. Without this addition the instance would
 * drop that peer and could obtain no further information.
 */
final class ConfiguredEntries {

  private final List<ListedProcess> configured;

  ConfiguredEntries(List<ListedProcess> configured) {
    this.configured = List.copyOf(configured);
  }

  /**
   * Returns the list, extended by each configured entry instance that has no process in the list.
   * Process ids with the same stable name belong to the same instance.
   */
  List<ListedProcess> complete(List<ListedProcess> listed) {
    Set<String> names =
        listed.stream()
            .map(process -> new InstanceId(process.id()).stableName())
            .collect(Collectors.toSet());
    List<ListedProcess> all = new ArrayList<>(listed);
    configured.stream().filter(entry -> !names.contains(entry.id())).forEach(all::add);
    return all;
  }
}

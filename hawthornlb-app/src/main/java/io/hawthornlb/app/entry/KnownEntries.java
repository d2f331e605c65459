package io.hawthornlb.app.entry;

import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Entries that the settings name, added to each list that lacks them.
 *
 * <p>A list may be older than an entry. An instance that starts while the platform is away and took
 * such a list from its only peer would forget that peer, and could learn nothing more.
 */
final class KnownEntries {

  private final List<ListedProcess> known;

  KnownEntries(List<ListedProcess> known) {
    this.known = List.copyOf(known);
  }

  /** Returns a list with the known entries of which it names no start. */
  List<ListedProcess> complete(List<ListedProcess> listed) {
    Set<String> names =
        listed.stream()
            .map(process -> new InstanceId(process.id()).stableName())
            .collect(Collectors.toSet());
    List<ListedProcess> all = new ArrayList<>(listed);
    known.stream().filter(entry -> !names.contains(entry.id())).forEach(all::add);
    return all;
  }
}

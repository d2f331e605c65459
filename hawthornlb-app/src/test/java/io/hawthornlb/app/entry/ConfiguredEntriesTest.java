package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConfiguredEntriesTest {

  private final ConfiguredEntries configured = new ConfiguredEntries(List.of(entry("entry-1")));

  // An entry instance starts while the platform is unreachable and receives the list of its only
  // peer.
  // The list is older than that peer and omits it. The instance must not drop the peer, as it would
  // then have no connection and would refuse all callers permanently.
  @Test
  void addsEntryMissingFromOlderList() {
    assertEquals(List.of(entry("entry-1")), configured.complete(List.of()));
  }

  @Test
  void doesNotAddEntryListedUnderProcessId() {
    List<ListedProcess> listed = List.of(entry("entry-1~abc"), entry("entry-2~def"));

    assertEquals(listed, configured.complete(listed));
  }

  private static ListedProcess entry(String id) {
    return new ListedProcess(
        id,
        ListedKind.ENTRY,
        Optional.empty(),
        new DataCentre("ruwi"),
        "127.0.0.1:9001",
        ListedState.LIVE);
  }
}

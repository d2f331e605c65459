package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class KnownEntriesTest {

  private final KnownEntries known = new KnownEntries(List.of(entry("entry-1")));

  // An entry starts while the platform is away and takes the list of its only peer, which is older
  // than the peer itself. It then connects to nobody, and callers are refused for good.
  @Test
  void staysKnownWhenTheListIsOlderThanTheEntry() {
    assertEquals(List.of(entry("entry-1")), known.complete(List.of()));
  }

  @Test
  void isNamedOnceWhenTheListNamesOneOfItsStarts() {
    List<ListedProcess> listed = List.of(entry("entry-1~abc"), entry("entry-2~def"));

    assertEquals(listed, known.complete(listed));
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
